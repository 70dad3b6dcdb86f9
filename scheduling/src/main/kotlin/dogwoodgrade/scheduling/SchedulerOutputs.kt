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
 * @property durableEnd number of the last end that is durable; the executor may forget the ends up to it
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
