package dogwoodgrade.scheduling

import kotlin.time.Duration

/** Identifies an executor, one life of a machine in a pool. */
@JvmInline
public value class ExecutorIdentifier(public val text: String) {
    override fun toString(): String = text
}

/**
 * An executor as the live list shows it.
 *
 * @property incarnation time of its start; an executor that starts again knows nothing of before
 * @property address host and port
 * @property draining it leaves and takes no new work
 * @property labels kind and rack
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
 * @property percent progress, or for a long-running task 100 while it is at work
 * @property figure tail latency in milliseconds of a serving task, processor use of any other, over half a second
 */
public data class ListedRun(
    public val task: TaskName,
    public val run: Long,
    public val checkpoint: String,
    public val percent: Int,
    public val figure: Double,
)

/** How a run ended. */
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
 * What an executor says of itself in one response.
 *
 * @property clock the executor's steady clock
 */
public data class ExecutorListing(
    public val incarnation: Long,
    public val clock: Duration,
    public val running: List<ListedRun>,
    public val ended: List<ListedEnd>,
)

/** Outcome of an order to start a run. */
public sealed interface StartOutcome {
    /** The run is there. */
    public data object Started : StartOutcome

    /** The executor has done nothing and never will for this order. */
    public data class Rejected(public val reason: StartRejection) : StartOutcome

    /** No response; the order may have been executed, or may be until its deadline. */
    public data object Unknown : StartOutcome
}

/** Why an executor rejected a start. */
public enum class StartRejection {
    /** A newer owner gives the orders. */
    Fenced,

    /** The run number is not above one that ended there. */
    OldRun,

    /** The deadline had passed when the order arrived. */
    Late,

    /** It does not fit. */
    Capacity,

    /** The advisory ticket is missing or has expired. */
    Ticket,

    /** Another executor has the address. */
    OtherExecutor,

    /** The executor is unhealthy. */
    Unhealthy,

    /** The order was never sent: no connection could be opened. */
    NotSent,

    /** The order is malformed for the executor. */
    Malformed,
}
