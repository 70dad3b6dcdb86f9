package dogwoodgrade.scheduling

import kotlin.time.Duration

/** Identifies an executor, which is a machine for the time that it is in one pool. */
@JvmInline
public value class ExecutorIdentifier(public val text: String) {
    override fun toString(): String = text
}

/**
 * An executor as the live list shows it.
 *
 * @property incarnation time of its start; a restarted executor has no state from earlier incarnations
 * @property address host and port
 * @property draining whether it is leaving the pool and takes no new tasks
 * @property labels the kind of machine, then the rack
 */
public data class ExecutorReport(
    public val identifier: ExecutorIdentifier,
    public val incarnation: Long,
    public val pool: String,
    public val address: String,
    public val zone: String,
    public val draining: Boolean,
    public val capacity: Resources,
    public val labels: List<String>,
)

/**
 * A task that an executor lists as running.
 *
 * @property checkpoint newest checkpoint, empty if there is none
 * @property percent progress in percent; 100 for a long-running task that is available
 * @property measurement value measured over half a second: tail latency in milliseconds for a serving task, processor
 * use for any other task
 */
public data class ListedRun(
    public val task: TaskName,
    public val run: Long,
    public val checkpoint: String,
    public val percent: Int,
    public val measurement: Double,
)

/** Reason for the end of a run. */
public enum class RunEnding { Done, Failed, Stopped, Lapsed, GangBroken, GangIncomplete }

/**
 * A run that an executor lists as ended.
 *
 * @property number position in the executor's list of ends, from 1 in each incarnation
 */
public data class ListedEnd(
    public val number: Long,
    public val task: TaskName,
    public val run: Long,
    public val ending: RunEnding,
    public val checkpoint: String,
)

/**
 * State that an executor reports in one response.
 *
 * @property clock reading of the executor's steady clock
 * @property endsComplete whether [ended] has all ends that are not acknowledged. A run that is neither in [running] nor
 * in an incomplete list may have ended.
 */
public data class ExecutorListing(
    public val incarnation: Long,
    public val clock: Duration,
    public val running: List<ListedRun>,
    public val ended: List<ListedEnd>,
    public val endsComplete: Boolean = true,
)

/** Outcome of an order to start a run. */
public sealed interface StartOutcome {
    /**
     * Incarnation that answered, or `null` if none is known to have. It may be later or earlier than the one that the
     * order was meant for.
     */
    public val incarnation: Long?

    /** The run exists, or existed until a restart of the executor. */
    public data class Started(override val incarnation: Long? = null) : StartOutcome

    /** The executor has not executed this order and never will. */
    public data class Rejected(
        public val reason: StartRejection,
        override val incarnation: Long? = null,
    ) : StartOutcome

    /** There was no response; the order may have been executed, or may still be until its deadline. */
    public data object Unknown : StartOutcome {
        override val incarnation: Long? get() = null
    }
}

/** Outcome of an order to stop a run. */
public sealed interface StopOutcome {
    /**
     * The executor has accepted the order: the run ends, or can no longer start in this incarnation.
     *
     * @property incarnation incarnation that answered, or `null` if the response does not name it
     */
    public data class Accepted(public val incarnation: Long? = null) : StopOutcome

    /** There was no response, or the executor rejected the order. */
    public data object Failed : StopOutcome
}

/** Reason for which an executor rejected a start order. */
public enum class StartRejection {
    /** The order comes from an owner that a newer one has replaced. */
    Fenced,

    /** The run number is not higher than that of a run of the task that already ended there. */
    OldRun,

    /** The deadline had passed when the order arrived. */
    Late,

    /** The free capacity of the executor is too small for the task. */
    Capacity,

    /** The advisory ticket is missing or has expired. */
    Ticket,

    /** The address now belongs to a different executor. */
    OtherExecutor,

    /** The executor is unhealthy. */
    Unhealthy,

    /** The order was not sent, because no connection could be opened. */
    NotSent,

    /** The executor considers the order malformed. */
    Malformed,
}
