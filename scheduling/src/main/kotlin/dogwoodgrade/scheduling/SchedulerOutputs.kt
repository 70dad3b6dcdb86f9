package dogwoodgrade.scheduling

import kotlin.time.Duration

/**
 * Actions that the scheduler has decided on.
 *
 * @property orders orders to send to executors
 * @property advice requests to the advisory service
 * @property probes executors to query at once
 * @property events events to log
 */
public data class SchedulerPlan(
    public val orders: List<Order>,
    public val advice: List<AdviceRequest>,
    public val probes: Set<ExecutorIdentifier>,
    public val events: List<SchedulerEvent>,
)

/**
 * Contents of a request that extends an executor's grant and asks for a list of its runs.
 *
 * @property deadline end of the grant on the executor's clock, or `null` if the grant is not extended
 * @property durableEnd number of the last end that is durable, so that the executor may forget the ends up to it; 0 if
 * it has been told
 * @property awaitsDurability whether ends were processed that are not durable yet
 * @property busy whether runs may exist on the executor, or it has not answered yet
 * @property awaitsStops whether starts have to be ruled out that were ordered from an earlier incarnation
 * @property isProbe whether to query this executor because an answer of another one in its zone is overdue
 */
public data class GrantRequest(
    public val report: ExecutorReport,
    public val deadline: Duration?,
    public val durableEnd: Long,
    public val awaitsDurability: Boolean,
    public val busy: Boolean,
    public val awaitsStops: Boolean,
    public val isProbe: Boolean,
) {
    /**
     * Returns what to send over a connection at whose other end is the incarnation [peer], or one that is not known.
     *
     * The numbers of ends and the clock start anew with each incarnation. One that is not known to be that of [report]
     * might forget ends that it has never listed, and is only asked for a list.
     *
     * @param wait how long the executor may wait for a run to end before it answers
     */
    public fun contentFor(peer: Long?, wait: Duration): ListingRequest =
        if (peer == report.incarnation) ListingRequest(deadline, durableEnd, wait) else ListingRequest()
}

/**
 * Content of a listing request.
 *
 * @property deadline end of the grant on the executor's clock, or `null` to leave it as it is
 * @property acknowledgedEnd number up to which the executor may forget ends
 * @property wait how long the executor may wait for a run to end before it answers
 */
public data class ListingRequest(
    public val deadline: Duration? = null,
    public val acknowledgedEnd: Long = 0,
    public val wait: Duration = Duration.ZERO,
)

/**
 * Changes that have to be made durable.
 *
 * @property progress execution state of the jobs that changed
 * @property forgotten jobs whose records can be deleted
 * @property ends number of the last end by executor; ends up to it may be acknowledged once the batch is durable
 * @property incarnations incarnation of each executor in [ends]
 * @property executors executors on which runs may start once the batch is durable
 * @property goneExecutors executors on which no run can exist any more
 * @property starts starts that may be ordered once the batch is durable
 */
public data class ProgressBatch(
    public val progress: Map<JobIdentifier, JobProgress>,
    public val forgotten: List<JobIdentifier>,
    public val ends: Map<ExecutorIdentifier, Long>,
    public val incarnations: Map<ExecutorIdentifier, Long>,
    public val executors: List<ExecutorReport>,
    public val goneExecutors: List<ExecutorIdentifier>,
    public val starts: List<PlannedStart>,
) {
    /** Whether nothing has changed. Starts need no check: each one also changes its job's progress. */
    public val isEmpty: Boolean
        get() = listOf(progress.keys, forgotten, ends.keys, executors, goneExecutors).all { it.isEmpty() }
}
