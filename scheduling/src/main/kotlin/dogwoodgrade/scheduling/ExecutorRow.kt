package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * State of one executor as known to this owner.
 *
 * The estimate of the executor's clock is a lower bound, because a response carries the clock value from before its
 * transmission. Deadlines that are computed from the estimate therefore end early, never late.
 */
internal class ExecutorRow(
    var report: ExecutorReport,
    policy: SchedulingPolicy,
) {
    val runs: MutableMap<TaskName, ActiveRun> = mutableMapOf()

    /** Runs that were replaced by a copy and may still exist. */
    val abandoned: MutableMap<TaskName, AbandonedRun> = mutableMapOf()

    /** Number of [runs] that belong to long-running tasks. */
    var longRuns: Int = 0

    /** Number of [runs] that use spare capacity. */
    var spareRuns: Int = 0
    var used: Resources = Resources.None
    var clock: Duration? = null
    var clockReadAt: Instant = Instant.DISTANT_PAST
    var grantedUntil: Duration = Duration.ZERO

    /** Starts that may have extended grants in later incarnations than they were meant for. */
    val orderedStarts: OrderedStarts = OrderedStarts(policy)

    /** Latest time until which an order of an earlier owner may grant an incarnation to run that has not answered. */
    var inheritedGrantsUntil: Instant = Instant.DISTANT_PAST

    /** The same for the incarnation of [report], which such orders were not meant for. */
    var staleInheritedGrantsUntil: Instant = Instant.DISTANT_PAST

    /** Whether [report] describes this incarnation; a restarted executor may be of a different kind. */
    var described: Boolean = true
    var listedAt: Instant? = null

    /** Time at which the oldest unanswered request was sent, or `null` if all are answered. */
    var unansweredSince: Instant? = null
    var reachable: Boolean = true
    var absentFromLiveList: Boolean = false

    /** Whether the executor is recorded durably, so that a later owner knows that runs may exist on it. */
    var recorded: Boolean = false
    var retiring: Boolean = false
    var processedEnd: Long = 0
    var durableEnd: Long = 0

    /** Number of the last end that this incarnation may have forgotten, because a request that it answered said so. */
    var acknowledgedEnd: Long = 0
    var failedJobs: Set<JobIdentifier> = emptySet()
    var failuresInRow: Int = 0
    var avoidUntil: Instant = Instant.DISTANT_PAST

    val identifier: ExecutorIdentifier
        get() = report.identifier

    /** The rack, which is the second label. The first is the kind of machine, which contains no hyphen. */
    val rack: String?
        get() = report.labels.getOrNull(1)

    val mayHoldRuns: Boolean
        get() = runs.isNotEmpty() || abandoned.isNotEmpty()

    /** Whether a start that was ordered from an earlier incarnation has to be ruled out by a stop and a listing. */
    val hasStaleOrders: Boolean
        get() = runs.values.any { it.isStaleOrder(report.incarnation) }

    val free: Resources
        get() = report.capacity - used

    /** Returns whether [request] fits into the free capacity. */
    fun hasRoomFor(request: Resources): Boolean {
        val capacity = report.capacity
        return request.processor <= capacity.processor - used.processor &&
            request.memory <= capacity.memory - used.memory &&
            request.accelerators <= capacity.accelerators - used.accelerators
    }

    fun estimatedClock(now: Instant): Duration? = clock?.let { it + (now - clockReadAt) }

    /**
     * Returns the latest time at which the executor's clock reaches [deadline], given its maximum drift. An executor
     * that never answered this owner has no grant from it, so the result is in the distant past.
     */
    fun latestTimeOf(deadline: Duration, maximumClockDrift: Double): Instant {
        val read = clock ?: return Instant.DISTANT_PAST
        return clockReadAt + (deadline - read).coerceAtLeast(Duration.ZERO) / (1.0 - maximumClockDrift)
    }

    /** Returns the latest time until which the executor may run tasks, given the maximum drift of its clock. */
    fun grantsUntil(maximumClockDrift: Double, now: Instant): Instant =
        maxOf(
            latestTimeOf(grantedUntil, maximumClockDrift),
            orderedStarts.grantsUntil(report.incarnation, now),
            staleInheritedGrantsUntil,
        )

    fun usable(now: Instant): Boolean =
        !report.draining &&
            !absentFromLiveList &&
            !retiring &&
            reachable &&
            recorded &&
            described &&
            listedAt != null &&
            avoidUntil <= now
}
