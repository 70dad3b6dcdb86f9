package dogwoodgrade.scheduling

import kotlin.time.Duration

/**
 * What the scheduler wants done.
 *
 * @property advice questions to the advisory service
 * @property probes executors to ask at once
 * @property events conclusions for the log
 */
public data class SchedulerPlan(
    public val orders: List<Order>,
    public val advice: List<AdviceRequest>,
    public val probes: Set<ExecutorIdentifier>,
    public val events: List<SchedulerEvent>,
)

/**
 * Contents of a request that extends an executor's grant and asks what runs.
 *
 * @property deadline end of the grant on the executor's clock, or `null` to extend nothing
 * @property durableEnd number up to which the executor may forget ends
 * @property busy runs are there, or nothing is known of the executor yet
 * @property probe another executor of the zone is overdue, so that this one is asked as well
 */
public data class GrantRequest(
    public val report: ExecutorReport,
    public val deadline: Duration?,
    public val durableEnd: Long,
    public val awaitsDurability: Boolean,
    public val busy: Boolean,
    public val probe: Boolean,
)

/**
 * What has to become durable.
 *
 * @property ends ends that may be acknowledged afterwards
 * @property executors executors on which runs may start afterwards
 * @property goneExecutors executors on which nothing can run any more
 * @property starts starts that may be ordered afterwards
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
    /** Whether nothing has changed; every start is a change of its job. */
    public val isEmpty: Boolean
        get() = listOf(progress.keys, forgotten, ends.keys, executors, goneExecutors).all { it.isEmpty() }
}
