package dogwoodgrade.jobs

import dogwoodgrade.model.TeamName

/**
 * Every accepted job: a pure function of the accepted records, the same in every process at the same offset.
 *
 * A job is in exactly one of [unfinished] and [ended] until its ended form is forgotten. The bounds below keep the
 * ledger small enough to be held by every entry and to be copied for every record.
 *
 * @property unfinished jobs that wait or run
 * @property ended the jobs that ended last; older ones are forgotten
 * @property unfinishedByTeam number of unfinished jobs of each team that has any; kept so that no record scans all jobs
 * @property bodyCharacters sum of the Base64 text lengths of the unfinished bodies
 * @property nextSequence position of the next accepted or ended job
 */
public data class JobLedger(
    public val unfinished: Map<JobIdentifier, Job>,
    public val ended: Map<JobIdentifier, EndedJob>,
    public val unfinishedByTeam: Map<TeamName, Int>,
    public val bodyCharacters: Int,
    public val nextSequence: Long,
) {
    /** Returns how many unfinished jobs [team] has. */
    public fun unfinishedOf(team: TeamName): Int = unfinishedByTeam[team] ?: 0

    public companion object {
        /** Largest number of unfinished jobs of one team. */
        public const val MAX_UNFINISHED_PER_TEAM: Int = 500

        /** Largest number of unfinished jobs of all teams; bounds the cost of a fold step, which copies the map. */
        public const val MAX_UNFINISHED: Int = 4_000

        /**
         * Largest sum of the Base64 text lengths of unfinished bodies, in characters. A node has 128 MB for all of
         * the control state; a JVM string of Base64 text takes one byte a character.
         */
        public const val MAX_BODY_CHARACTERS: Int = 32 * 1024 * 1024

        /** Largest number of ended jobs. Above it, all but [KEPT_ENDED] are forgotten. */
        public const val MAX_ENDED: Int = 2_048

        /**
         * Number of ended jobs that are left after some were forgotten: each time, the team with the most loses its
         * oldest one. Forgetting many at once spreads the cost of the search over many records.
         */
        public const val KEPT_ENDED: Int = 1_792

        /**
         * Number of accepted claims after which an idempotent job is not claimed again: a job that ends every entry
         * that runs it would otherwise take down the fleet one by one.
         */
        public const val MAX_CLAIMS: Int = 5

        /** The ledger before the first record. */
        public val Empty: JobLedger = JobLedger(emptyMap(), emptyMap(), emptyMap(), 0, 0)
    }
}
