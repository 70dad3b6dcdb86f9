package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.TeamName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A report that the ledger does not show yet. The permits that it releases are reserved.
 *
 * @property attempts number of times the report was handed out for appending
 * @property appended true if the log confirmed an append; the report is then not repeated
 */
public data class PendingReport(
    public val report: PermitReport,
    public val attempts: Int,
    public val appended: Boolean,
)

/**
 * What an entry knows about its own permits.
 *
 * @property inUse running tasks per team; teams without running tasks are absent
 * @property lastReport when a report was last handed out, or `null` if none was
 * @property stopping true during graceful shutdown
 */
public data class LocalPermits(
    public val entry: EntryIdentity,
    public val ledger: PermitLedger,
    public val inUse: Map<TeamName, Int> = emptyMap(),
    public val pending: PendingReport? = null,
    public val lastReport: Instant? = null,
    public val stopping: Boolean = false,
) {
    /** Returns the number of permits of [team] that the ledger shows as held and that are not reserved for release. */
    public fun owned(team: TeamName): Int =
        (ledger.teams[team]?.heldBy(entry) ?: 0) - (
            pending
                ?.report
                ?.changes
                ?.get(team)
                ?.release ?: 0
        )
}

/**
 * Result of planning.
 *
 * @property report the report to append, or `null` if there is nothing to append now
 * @property retained per team the number of permits to go on using. It is below what is owned while permits of
 * completing tasks have to move to other entries; a busy queue would otherwise use each of them again at once.
 */
public data class PermitPlan(
    public val report: PermitReport?,
    public val retained: Map<TeamName, Int>,
)

/**
 * Plans the next report of an entry.
 *
 * A pending report is repeated unchanged, because a different report with the same sequence could be dropped as a
 * copy after its permits were spent. Otherwise a report is made of the teams for which permits have to move or the
 * demand in the ledger misleads the others.
 *
 * @param live joined entries that gossip shows as live; the entry itself counts as live in any case. Permits held by
 * other entries are taken as unavailable.
 * @param demand per team the tasks that run plus the requests that wait in this entry
 */
public fun planPermitReport(
    local: LocalPermits,
    now: Instant,
    live: Set<EntryIdentity>,
    demand: Map<TeamName, Int>,
    policy: PermitPolicy = PermitPolicy(),
): PermitPlan {
    val ledger = local.ledger
    val sequence = ledger.reportSequences[local.entry] ?: return PermitPlan(null, emptyMap())
    val members = ledger.reportSequences.keys
        .filter { it == local.entry || it in live }
        .sorted()
    val turn = Math.floorMod(now.toEpochMilliseconds() / policy.turnLength.inWholeMilliseconds, members.size)
    val plans = ledger.teams.mapValues { (team, permits) ->
        val floor = policy.floor(permits.limit, ledger.reportSequences.size)
        val fleet = FleetView(permits, members, local.entry, local.owned(team), demand.of(team, local, permits))
        fleet.plan(policy.targets, floor, turn, local.inUse[team] ?: 0, local.stopping)
    }
    val report =
        when {
            !isReportDue(local.lastReport, now, policy.reportInterval(ledger.reportSequences.size)) -> null
            local.pending != null -> local.pending.report.takeUnless { local.pending.appended }
            else -> newReport(local, sequence + 1, plans)
        }
    return PermitPlan(report, plans.mapValues { (_, plan) -> plan.retained })
}

/** A clock that was set back must not block reports until it has caught up, so a negative time counts as due. */
private fun isReportDue(last: Instant?, now: Instant, interval: Duration): Boolean =
    last == null || now < last || now - last >= interval

private fun newReport(local: LocalPermits, sequence: Long, plans: Map<TeamName, TeamPlan>): PermitReport? {
    val changes = plans.entries
        .filter { (team, plan) -> plan.isWorthReporting(local.ledger.teams.getValue(team), local.entry) }
        .take(MAX_TEAMS_PER_REPORT)
        .associate { (team, plan) -> team to plan.change }
    return if (changes.isEmpty()) null else PermitReport(local.entry, sequence, changes)
}

/**
 * Demand as stated to the others: at least the running tasks, since they need their permits, and at most the limit,
 * since a queue that changes its length above the limit needs no reports. During shutdown it is at most what is owned.
 */
private fun Map<TeamName, Int>.of(team: TeamName, local: LocalPermits, permits: TeamPermits): Int {
    val needed = maxOf(this[team] ?: 0, local.inUse[team] ?: 0)
    return minOf(needed, if (local.stopping) local.owned(team) else permits.limit).coerceAtLeast(0)
}

private data class TeamPlan(
    val change: PermitChange,
    val retained: Int,
) {
    /** Whether permits move, or the last stated demand makes the others see a need that is not there, or miss one. */
    fun isWorthReporting(permits: TeamPermits, entry: EntryIdentity): Boolean {
        val stated = permits.wantedBy(entry)
        val misleading = stated != change.wanted && maxOf(stated, change.wanted) > permits.heldBy(entry)
        return change.release > 0 || (change.take > 0 && permits.free > 0) || misleading
    }
}

/** The permits of one team as one entry sees them; [owned] and [demand] are newer than the ledger. */
private data class FleetView(
    val permits: TeamPermits,
    val members: List<EntryIdentity>,
    val entry: EntryIdentity,
    val owned: Int,
    val demand: Int,
) {
    fun plan(targets: TargetRule, floor: Int, turn: Int, inUse: Int, stopping: Boolean): TeamPlan {
        val held = members.map { if (it == entry) owned else permits.heldBy(it) }
        val demands = members.map { if (it == entry) demand else permits.wantedBy(it) }
        val capacity = capacity()
        val memberTarget = targets(capacity, floor, demands, firstMember(capacity, demands, turn))
        val target = memberTarget[members.indexOf(entry)]
        val surrendered =
            if (stopping) (owned - demand).coerceAtLeast(0) else surrendered(held.zip(memberTarget), owned - target)
        val take = if (stopping || surrendered > 0) 0 else (target - owned).coerceAtLeast(0)
        val release = minOf(surrendered, owned - inUse).coerceAtLeast(0)
        return TeamPlan(PermitChange(release, take, demand), retained = owned - surrendered)
    }

    /** Permits that live members can hold together; suspected entries keep theirs until there is evidence of an end. */
    private fun capacity(): Int {
        // A difference, because a search of every holder in the members takes quadratic time in the entries.
        val absent = permits.heldTotal - members.sumOf(permits::heldBy)
        return (permits.limit - permits.quarantinedTotal - absent).coerceAtLeast(0)
    }

    /** Members take turns only if there are fewer permits than members with demand; otherwise permits stay put. */
    private fun firstMember(capacity: Int, demands: List<Int>, turn: Int): Int =
        if (capacity < demands.count { it > 0 }) turn else 0

    /**
     * Number of permits to give up: this entry's part, in proportion to its [surplus], of what the members below their
     * targets miss and the free permits do not cover. Rounding up gives progress when other holders do not respond.
     */
    private fun surrendered(heldAndTarget: List<Pair<Int, Int>>, surplus: Int): Int {
        val missing = heldAndTarget.sumOf { (held, target) -> (target - held).coerceAtLeast(0) }
        val reserved = permits.heldBy(entry) - owned
        val need = missing.toLong() - permits.free - reserved
        if (surplus <= 0 || need <= 0) return 0
        val totalSurplus = heldAndTarget.sumOf { (held, target) -> (held - target).coerceAtLeast(0).toLong() }
        return minOf(surplus.toLong(), (need * surplus + totalSurplus - 1) / totalSurplus).toInt()
    }
}
