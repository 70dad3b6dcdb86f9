package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Figures that the scheduler decides with.
 *
 * @property startDeadline how long a start order may travel before the executor rejects it
 * @property clockError largest relative error of an executor's clock, from the platform's protocol
 * @property expiryMargin added to the end of a grant before its runs count as expired
 * @property rejectionPause pause before a rejected start is tried again
 * @property failurePause pause before a failed task starts again
 * @property suspicionFailures failed runs in a row of different jobs after which an executor is avoided
 * @property probation how long a suspected executor is avoided before it gets one task
 * @property stallTime time without progress after which a run is moved
 * @property preemptionWait time a long-running task waits for room before it preempts batch work
 * @property restorationTime time that a start from a checkpoint takes before it works
 * @property knownJobsRetention how long an ended job stays known
 */
public data class SchedulingPolicy(
    public val startDeadline: Duration = 1200.milliseconds,
    public val clockError: Double = 0.02,
    public val expiryMargin: Duration = 300.milliseconds,
    public val rejectionPause: Duration = 60.milliseconds,
    public val failurePause: Duration = 30.milliseconds,
    public val suspicionFailures: Int = 3,
    public val probation: Duration = 3.seconds,
    public val stallTime: Duration = 1500.milliseconds,
    public val preemptionWait: Duration = 600.milliseconds,
    public val restorationTime: Duration = 600.milliseconds,
    public val knownJobsRetention: Duration = 150.seconds,
)
