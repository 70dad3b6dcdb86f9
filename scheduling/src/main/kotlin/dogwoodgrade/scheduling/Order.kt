package dogwoodgrade.scheduling

import kotlin.time.Duration

/** An instruction to an executor that the scheduler has decided on. */
public sealed interface Order {
    /** Executor that receives the order. */
    public val executor: ExecutorIdentifier

    /** Task that the order is about. */
    public val task: TaskName

    /** Run that the order is about. */
    public val run: Long

    /**
     * Starts a run.
     *
     * @property deadline time on the executor's clock after which the executor rejects the order
     * @property checkpoint checkpoint to continue from, empty for none
     * @property ticket advisory ticket, or `null` where the queue needs none
     */
    public data class Start(
        override val executor: ExecutorIdentifier,
        override val task: TaskName,
        override val run: Long,
        public val payload: String,
        public val deadline: Duration,
        public val checkpoint: String,
        public val ticket: String?,
    ) : Order

    /** Stops a run, and makes it and all earlier runs of the task impossible there. */
    public data class Stop(
        override val executor: ExecutorIdentifier,
        override val task: TaskName,
        override val run: Long,
        public val reason: StopReason,
    ) : Order

    /** Lets a run work at [percent] of its speed. */
    public data class Pace(
        override val executor: ExecutorIdentifier,
        override val task: TaskName,
        override val run: Long,
        public val percent: Int,
    ) : Order
}

/** Why a run is stopped. */
public enum class StopReason { Cancelled, JobEnded, Duplicate, Unknown, Preempted, Moved, Stalled, GangRestart }
