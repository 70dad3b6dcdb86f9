package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Load of one pool.
 *
 * @property waiting processor time that waiting batch work is declared to need, in thousandths of a core times seconds
 * @property waitingProcessor processor request of the waiting tasks
 * @property widest most executors that one step of a long-running job needs
 */
public data class PoolLoad(
    public val pool: String,
    public val waiting: Double,
    public val waitingProcessor: Long,
    public val usedProcessor: Long,
    public val capacityProcessor: Long,
    public val widest: Int,
)

/**
 * What planned work on an executor's machine would interrupt.
 *
 * @property batchRuns runs that end by themselves
 * @property longRuns runs that have to be moved
 */
public data class ExecutorLoad(
    public val identifier: ExecutorIdentifier,
    public val pool: String,
    public val zone: String,
    public val draining: Boolean,
    public val reachable: Boolean,
    public val batchRuns: Int,
    public val longRuns: Int,
    public val usedProcessor: Long,
    public val capacityProcessor: Long,
    public val incarnation: Long,
)

/** A copy of the load of the fleet that other decisions may use without the lock. */
public data class FleetView(
    public val pools: Map<String, PoolLoad>,
    public val executors: Map<ExecutorIdentifier, ExecutorLoad>,
)

internal fun fleetView(tables: FleetTables, now: Instant): FleetView {
    val pools =
        tables.configuration.pools.keys.associateWith { pool ->
            val executors = tables.executors.values.filter { it.report.pool == pool && it.usable(now) }
            val ready = tables.readySteps[pool].orEmpty().filter { !it.job.ended && !it.step.usesSpareCapacity }
            val wide = tables.jobs.values.filter { !it.ended && it.job.longRunning && tables.poolOf(it.job) == pool }
            PoolLoad(
                pool,
                ready.sumOf { waitingWork(it) },
                ready.sumOf { row -> row.tasks.count { it.phase == TaskPhase.Ready } * row.step.request.processor },
                executors.sumOf { it.used.processor },
                executors.sumOf { it.report.capacity.processor },
                wide.maxOfOrNull { row -> row.job.steps.maxOf { executorsNeeded(it) } } ?: 0,
            )
        }
    return FleetView(pools, tables.executors.mapValues { (_, row) -> loadOf(tables, row) })
}

private fun executorsNeeded(step: Step): Int =
    if (step.tasksPerExecutor == 0) 1 else (step.count + step.tasksPerExecutor - 1) / step.tasksPerExecutor

private fun waitingWork(row: StepRow): Double {
    val estimate = if (row.step.longRunning) Duration.ZERO else row.step.estimate
    return row.tasks.count { it.phase == TaskPhase.Ready } * row.step.request.processor * estimate.inWholeMilliseconds /
        1000.0
}

private fun loadOf(tables: FleetTables, row: ExecutorRow): ExecutorLoad {
    val (long, batch) = row.runs.keys.partition { tables.stepOf(it)?.step?.longRunning == true }
    return ExecutorLoad(
        row.identifier,
        row.report.pool,
        row.report.zone,
        row.report.draining || row.vanished,
        row.reachable,
        batch.size,
        long.size,
        row.used.processor,
        row.report.capacity.processor,
        row.report.incarnation,
    )
}
