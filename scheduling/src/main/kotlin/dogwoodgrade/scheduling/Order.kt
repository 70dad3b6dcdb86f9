package dogwoodgrade.scheduling

import kotlin.time.Duration

/** An order of the scheduler to an executor. */
public sealed interface Order {
    /** Executor to which the order is sent. */
    public val executor: ExecutorIdentifier

    /** Task to which the order applies. */
    public val task: TaskName

    /** Number of the run to which the order applies. */
    public val run: Long

    /**
     * Starts a run.
     *
     * @property deadline time on the executor's clock after which the executor rejects the order
     * @property checkpoint checkpoint to resume from, empty if there is none
     * @property ticket advisory ticket, or `null` if the queue needs none
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

    /** Stops a run, and prevents it and all earlier runs of the task from starting on the executor later. */
    public data class Stop(
        override val executor: ExecutorIdentifier,
        override val task: TaskName,
        override val run: Long,
        public val reason: StopReason,
    ) : Order

    /** Limits a run to [percent] of its full speed. */
    public data class Pace(
        override val executor: ExecutorIdentifier,
        override val task: TaskName,
        override val run: Long,
        public val percent: Int,
    ) : Order
}

/** Reason for which a run is stopped. */
public enum class StopReason {
    Cancelled,
    JobEnded,
    Duplicate,
    Unknown,
    Preempted,
    Moved,
    Stalled,
    GangRestart,

    /** The start had no answer and was meant for an earlier incarnation of the executor. */
    StaleOrder,

    /** The log does not take the progress of the job. */
    Unrecordable,
}
