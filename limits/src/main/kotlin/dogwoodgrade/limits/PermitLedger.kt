package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName

/**
 * State of all permits, computed by applying the records of the log in order: an escrow from which entries take
 * permits and to which they return them.
 *
 * Every process computes the same ledger from the same records. A refused record leaves the ledger unchanged. Values
 * in records are untrusted: an invalid one is refused with a result code and never causes an exception.
 *
 * @property teams permits per team
 * @property reportSequences sequence of the last accepted report per joined entry; 0 before the first
 * @property newestIncarnations largest incarnation that ever joined, per entry name; it prevents a delayed duplicate of
 * `entry-joined` from adding an entry again that has left or ended
 */
public data class PermitLedger(
    public val teams: Map<TeamName, TeamPermits> = emptyMap(),
    public val reportSequences: Map<EntryIdentity, Long> = emptyMap(),
    public val newestIncarnations: Map<EntryName, Long> = emptyMap(),
) {
    /** Whether the permits of every team add up and only joined entries hold any; used to check decoded snapshots. */
    public val isConsistent: Boolean
        get() =
            teams.values.all { team -> team.isBalanced && reportSequences.keys.containsAll(team.held.keys) } &&
                reportSequences.values.all { it >= 0 }

    /** Creates [team] with [limit] permits, all free, or changes its limit. The free permits can become negative. */
    public fun setLimit(team: TeamName, limit: Int): Outcome<PermitLedger> {
        if (limit !in 0..MAX_PERMITS) {
            return refuse(ResultCode.InvalidValue, "limit $limit of team $team is not in 0..$MAX_PERMITS")
        }
        val next = teams[team]?.withLimit(limit) ?: TeamPermits(limit, free = limit)
        return Outcome.Success(copy(teams = teams + (team to next)))
    }

    /** Removes [team]. While permits are outstanding it stays with a limit of 0 and is marked as removed. */
    public fun removeTeam(team: TeamName): Outcome<PermitLedger> {
        val permits = teams[team]?.takeUnless { it.removed }
            ?: return refuse(ResultCode.UnknownTeam, "team $team does not exist")
        return Outcome.Success(withTeams(teams + (team to permits.withLimit(0).copy(removed = true))))
    }

    /** Adds [entry], which holds nothing. Its incarnation must be larger than any seen for its name. */
    public fun join(entry: EntryIdentity): Outcome<PermitLedger> {
        val newest = newestIncarnations[entry.name] ?: 0
        if (entry.incarnation <= newest) {
            return refuse(ResultCode.StaleIncarnation, "entry $entry is not newer than incarnation $newest")
        }
        return Outcome.Success(
            copy(
                reportSequences = reportSequences + (entry to 0L),
                newestIncarnations = newestIncarnations + (entry.name to entry.incarnation),
            ),
        )
    }

    /** Removes [entry] after its graceful shutdown and frees its permits. */
    public fun leave(entry: EntryIdentity): Outcome<PermitLedger> = remove(entry) { it.withHeldFreed(entry) }

    /** Fences [entry] and quarantines its permits. The sender has checked the evidence that the process has ended. */
    public fun end(entry: EntryIdentity): Outcome<PermitLedger> = remove(entry) { it.withHeldQuarantined(entry) }

    /**
     * Applies [report]: for each team, first the release and then the take, which is cut to the free permits.
     *
     * A team that was removed after the report was planned is skipped. Refusing the report would block its sender,
     * because the sender repeats the report unchanged until its sequence is accepted.
     */
    public fun applyReport(report: PermitReport): Outcome<PermitLedger> {
        val last = reportSequences[report.entry] ?: return notJoined(report.entry)
        if (report.sequence != last + 1) {
            return refuse(
                ResultCode.WrongSequence,
                "report ${report.sequence} of ${report.entry} does not follow the last accepted report $last",
            )
        }
        if (report.changes.size > MAX_TEAMS_PER_REPORT) {
            return refuse(ResultCode.InvalidValue, "report of ${report.entry} names ${report.changes.size} teams")
        }
        for ((team, change) in report.changes) {
            val held = teams[team]?.heldBy(report.entry) ?: 0
            if (!change.isValidFor(held)) {
                return refuse(ResultCode.InvalidValue, "$change is out of range: ${report.entry} holds $held of $team")
            }
        }
        val changed = report.changes.mapNotNull { (team, change) ->
            teams[team]?.let { team to it.withChange(report.entry, change) }
        }
        return Outcome.Success(
            copy(reportSequences = reportSequences + (report.entry to report.sequence)).withTeams(teams + changed),
        )
    }

    /**
     * Frees the quarantined permits of [entry]. The ledger has no clock: the sender waits for the longest task lease
     * plus the allowance for clock skew before it appends the record.
     */
    public fun reclaim(entry: EntryIdentity): Outcome<PermitLedger> {
        if (teams.values.none { entry in it.quarantined }) {
            return refuse(ResultCode.NotQuarantined, "entry $entry has no quarantined permits")
        }
        return Outcome.Success(withTeams(teams.mapValues { (_, permits) -> permits.withQuarantinedFreed(entry) }))
    }

    private fun remove(entry: EntryIdentity, change: (TeamPermits) -> TeamPermits): Outcome<PermitLedger> {
        if (entry !in reportSequences) return notJoined(entry)
        return Outcome.Success(
            copy(reportSequences = reportSequences - entry).withTeams(teams.mapValues { (_, team) -> change(team) }),
        )
    }

    /** Replaces the teams by [next], without removed teams whose permits have all been returned. */
    private fun withTeams(next: Map<TeamName, TeamPermits>): PermitLedger =
        copy(teams = next.filterValues { !it.removed || it.heldTotal + it.quarantinedTotal > 0 })

    private fun notJoined(entry: EntryIdentity): Outcome.Failure =
        if (entry.incarnation <= (newestIncarnations[entry.name] ?: 0)) {
            refuse(ResultCode.EntryEnded, "entry $entry has left or ended")
        } else {
            refuse(ResultCode.UnknownEntry, "entry $entry has not joined")
        }
}

private fun PermitChange.isValidFor(held: Int): Boolean =
    release in 0..held && take in 0..MAX_PERMITS && wanted in 0..MAX_PERMITS

private fun refuse(code: ResultCode, message: String): Outcome.Failure = Outcome.Failure(code, message)
