package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times and limits that scheduling decisions use.
 *
 * @property startOrderValidity time within which a start order must arrive; the executor rejects it later
 * @property maximumClockDrift largest relative error of an executor's clock rate, from the platform's protocol
 * @property longestGrant longest grant that an executor accepts, from the platform's protocol
 * @property longestOrderDelay time after which an executor no longer executes an order that it has not answered
 * @property expiryMargin time added to the end of an executor's grant before its runs count as expired
 * @property rejectionRetryDelay time before a rejected start is retried
 * @property failureRetryDelay time before a failed task is restarted
 * @property failuresUntilProbation consecutive failed runs, of more than one job, after which an executor is avoided
 * @property probation time for which such an executor gets no tasks
 * @property stallTimeout time without progress after which a run is stopped and its task restarted
 * @property preemptionDelay time that a long-running task waits for capacity before it preempts batch tasks
 * @property restorationTime time that a run needs to restore a checkpoint before it makes progress
 * @property maximumUnsentStarts number of planned starts that may wait to be made durable and sent; a small machine
 * sends as many in a third of [startOrderValidity]
 * @property startLimitMemory time for which an owner that has reached that number counts as too slow for more machines
 * @property endedJobRetention time for which an ended job can still be queried
 */
public data class SchedulingPolicy(
    public val startOrderValidity: Duration = 1200.milliseconds,
    public val maximumClockDrift: Double = 0.02,
    public val longestGrant: Duration = 6.seconds,
    public val longestOrderDelay: Duration = 12.seconds,
    public val expiryMargin: Duration = 300.milliseconds,
    public val rejectionRetryDelay: Duration = 60.milliseconds,
    public val failureRetryDelay: Duration = 30.milliseconds,
    public val failuresUntilProbation: Int = 3,
    public val probation: Duration = 3.seconds,
    public val stallTimeout: Duration = 1500.milliseconds,
    public val preemptionDelay: Duration = 600.milliseconds,
    public val restorationTime: Duration = 600.milliseconds,
    public val maximumUnsentStarts: Int = 160,
    public val startLimitMemory: Duration = 1000.milliseconds,
    public val endedJobRetention: Duration = 150.seconds,
) {
    /** Longest time for which a grant lasts, measured on a correct clock. */
    internal val longestGrantOnSlowClock: Duration
        get() = longestGrant / (1.0 - maximumClockDrift)
}
