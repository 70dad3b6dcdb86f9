package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * What is believed about one executor.
 *
 * The executor's clock is estimated from below: a response shows the clock before it travelled. Deadlines that are
 * computed from the estimate therefore end early, never late.
 */
internal class ExecutorRow(
    var report: ExecutorReport,
) {
    val runs: MutableMap<TaskName, ActiveRun> = mutableMapOf()

    /** Runs that were given up in favour of a copy and may still exist. */
    val abandoned: MutableMap<TaskName, AbandonedRun> = mutableMapOf()

    /** How many of [runs] are of long-running tasks. */
    var longRuns: Int = 0
    var used: Resources = Resources.None
    var clock: Duration? = null
    var clockReadAt: Instant = Instant.DISTANT_PAST
    var grantedUntil: Duration = Duration.ZERO
    var listedAt: Instant? = null

    /** When the first request was sent that has no answer yet, or `null` if none is under way. */
    var unansweredSince: Instant? = null
    var reachable: Boolean = true
    var vanished: Boolean = false

    /** A later owner will know that runs may be there. */
    var recorded: Boolean = false
    var retiring: Boolean = false
    var processedEnd: Long = 0
    var durableEnd: Long = 0
    var failedJobs: Set<JobIdentifier> = emptySet()
    var failuresInRow: Int = 0
    var avoidUntil: Instant = Instant.DISTANT_PAST

    val identifier: ExecutorIdentifier
        get() = report.identifier

    /** The rack is the label that is not the kind; a kind has no hyphen. */
    val rack: String?
        get() = report.labels.getOrNull(1)

    val mayHoldRuns: Boolean
        get() = runs.isNotEmpty() || abandoned.isNotEmpty()

    val free: Resources
        get() = report.capacity - used

    fun estimatedClock(now: Instant): Duration? = clock?.let { it + (now - clockReadAt) }

    /**
     * Returns the latest time at which the executor's clock reaches [deadline], given its relative error. An executor
     * that never answered this owner has no grant of it.
     */
    fun reaches(deadline: Duration, clockError: Double): Instant {
        val read = clock ?: return Instant.DISTANT_PAST
        return clockReadAt + (deadline - read).coerceAtLeast(Duration.ZERO) / (1.0 - clockError)
    }

    fun usable(now: Instant): Boolean =
        !report.draining && !vanished && !retiring && reachable && recorded && listedAt != null && avoidUntil <= now
}
