package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.TeamName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A report that the ledger does not show yet. The permits that it releases are reserved.
 *
 * @property attempts number of times that [planPermitReport] has returned the report for appending
 * @property appended true if the log confirmed an append; the report is then not repeated
 */
public data class PendingReport(
    public val report: PermitReport,
    public val attempts: Int,
    public val appended: Boolean,
)

/**
 * State of the permits at one entry.
 *
 * @property inUse running tasks per team; teams without running tasks are absent
 * @property lastReport time at which a report was last returned for appending, or `null` if none was
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
 * @property retained number of permits per team that the entry may keep using. It is below the number owned while the
 * permits of completing tasks have to move to other entries; otherwise a busy queue would reuse each of them at once.
 */
public data class PermitPlan(
    public val report: PermitReport?,
    public val retained: Map<TeamName, Int>,
)

/**
 * Plans the next report of an entry.
 *
 * A pending report is repeated unchanged: a different report with the same sequence could be dropped as a duplicate
 * after its permits were used. Otherwise the report contains the teams for which permits have to move or for which the
 * outdated demand in the ledger would cause wrong plans at other entries.
 *
 * @param live joined entries that gossip shows as live; the entry itself always counts as live. Permits held by entries
 * that are not live are treated as unavailable.
 * @param demand running tasks plus waiting requests of this entry, per team
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
        val fleet = FleetView(permits, members, local.entry, local.owned(team), demand.bounded(team, local, permits))
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

/** A negative elapsed time counts as due, so that a clock that was set back does not block reports. */
private fun isReportDue(last: Instant?, now: Instant, interval: Duration): Boolean =
    last == null || now < last || now - last >= interval

private fun newReport(local: LocalPermits, sequence: Long, plans: Map<TeamName, TeamPlan>): PermitReport? {
    val changes = plans.entries
        .filter { (team, plan) -> plan.needsReport(local.ledger.teams.getValue(team), local.entry) }
        .take(MAX_TEAMS_PER_REPORT)
        .associate { (team, plan) -> team to plan.change }
    return if (changes.isEmpty()) null else PermitReport(local.entry, sequence, changes)
}

/**
 * Demand to report: at least the number of running tasks, because they need their permits, and at most the limit,
 * because changes of the queue length above the limit need no reports. During shutdown it is at most what is owned.
 */
private fun Map<TeamName, Int>.bounded(team: TeamName, local: LocalPermits, permits: TeamPermits): Int {
    val needed = maxOf(this[team] ?: 0, local.inUse[team] ?: 0)
    return minOf(needed, if (local.stopping) local.owned(team) else permits.limit).coerceAtLeast(0)
}

private data class TeamPlan(
    val change: PermitChange,
    val retained: Int,
) {
    /** Whether permits move, or other entries would plan with a demand that no longer exists or miss a new one. */
    fun needsReport(permits: TeamPermits, entry: EntryIdentity): Boolean {
        val reported = permits.wantedBy(entry)
        val demandOutdated = reported != change.wanted && maxOf(reported, change.wanted) > permits.heldBy(entry)
        return change.release > 0 || (change.take > 0 && permits.free > 0) || demandOutdated
    }
}

/** Permits of one team as seen by one entry; [owned] and [demand] are newer than the ledger. */
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
        val countToRelease =
            if (stopping) (owned - demand).coerceAtLeast(0) else countToRelease(held.zip(memberTarget), owned - target)
        val take = if (stopping || countToRelease > 0) 0 else (target - owned).coerceAtLeast(0)
        val release = minOf(countToRelease, owned - inUse).coerceAtLeast(0)
        return TeamPlan(PermitChange(release, take, demand), retained = owned - countToRelease)
    }

    /** Permits that live members can hold together; suspected entries keep theirs until their end is proven. */
    private fun capacity(): Int {
        // Looking up every holder among the members would take quadratic time in the number of entries.
        val absent = permits.heldTotal - members.sumOf(permits::heldBy)
        return (permits.limit - permits.quarantinedTotal - absent).coerceAtLeast(0)
    }

    /** Members take turns only if there are fewer permits than members with demand; otherwise permits do not move. */
    private fun firstMember(capacity: Int, demands: List<Int>, turn: Int): Int =
        if (capacity < demands.count { it > 0 }) turn else 0

    /**
     * Number of permits that this entry has to release, now or when tasks complete: its part, in proportion to its
     * [surplus], of what members below their targets lack and the free permits do not cover. Rounding up ensures
     * progress when other holders do not respond.
     */
    private fun countToRelease(heldAndTarget: List<Pair<Int, Int>>, surplus: Int): Int {
        val missing = heldAndTarget.sumOf { (held, target) -> (target - held).coerceAtLeast(0) }
        val reserved = permits.heldBy(entry) - owned
        val need = missing.toLong() - permits.free - reserved
        if (surplus <= 0 || need <= 0) return 0
        val totalSurplus = heldAndTarget.sumOf { (held, target) -> (held - target).coerceAtLeast(0).toLong() }
        return minOf(surplus.toLong(), (need * surplus + totalSurplus - 1) / totalSurplus).toInt()
    }
}
