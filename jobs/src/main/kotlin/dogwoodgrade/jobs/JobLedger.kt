package dogwoodgrade.jobs

import dogwoodgrade.model.TeamName

/**
 * All known jobs: a pure function of the accepted records, the same in every process at the same offset.
 *
 * An accepted job is in [unfinished] until it ends, and then in [ended] until it is removed. The bounds below keep the
 * ledger small enough for every entry to hold it in memory and to copy parts of it for every record.
 *
 * @property unfinished jobs that are waiting or running
 * @property ended the latest ended jobs; older ones are removed
 * @property unfinishedByTeam number of unfinished jobs of each team that has any; saves a scan of all jobs per record
 * @property bodyCharacters sum of the lengths of the unfinished jobs' bodies as Base64 text, in characters
 * @property nextSequence sequence of the next accepted or ended job
 */
public data class JobLedger(
    public val unfinished: Map<JobRequestIdentifier, UnfinishedJob>,
    public val ended: Map<JobRequestIdentifier, EndedJob>,
    public val unfinishedByTeam: Map<TeamName, Int>,
    public val bodyCharacters: Int,
    public val nextSequence: Long,
) {
    /** Returns the number of unfinished jobs of [team]. */
    public fun unfinishedOf(team: TeamName): Int = unfinishedByTeam[team] ?: 0

    public companion object {
        /** Largest number of unfinished jobs of one team. */
        public const val MAX_UNFINISHED_PER_TEAM: Int = 500

        /** Largest number of unfinished jobs of all teams. It bounds the cost of copying the map for each record. */
        public const val MAX_UNFINISHED: Int = 4_000

        /**
         * Largest value of [JobLedger.bodyCharacters]. The whole control state of a node must fit into 128 MB; a JVM
         * string of Base64 text takes one byte per character.
         */
        public const val MAX_BODY_CHARACTERS: Int = 32 * 1024 * 1024

        /** Largest number of ended jobs. When it is exceeded, all but [ENDED_AFTER_REMOVAL] are removed. */
        public const val MAX_ENDED: Int = 2_048

        /**
         * Number of ended jobs that are left after a removal, which takes the oldest job of the team with the most
         * ended jobs, again and again. Removing many jobs at once spreads the cost of the search over many records.
         */
        public const val ENDED_AFTER_REMOVAL: Int = 1_792

        /**
         * Number of accepted claims after which an idempotent job is not run again when its holder ends. Otherwise, a
         * job that crashes every entry that runs it would take down the whole fleet.
         */
        public const val MAX_CLAIMS: Int = 5

        /** The ledger before the first record. */
        public val Empty: JobLedger = JobLedger(emptyMap(), emptyMap(), emptyMap(), 0, 0)
    }
}
