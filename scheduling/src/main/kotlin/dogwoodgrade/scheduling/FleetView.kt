package dogwoodgrade.scheduling

import kotlin.time.Instant

/**
 * Load of one pool.
 *
 * @property inUse what runs
 * @property waiting request of the tasks that wait for room
 * @property capacity what the usable executors offer
 */
public data class PoolLoad(
    public val pool: String,
    public val inUse: Resources,
    public val waiting: Resources,
    public val capacity: Resources,
    public val standby: Boolean,
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
    public val usable: Boolean,
    public val batchRuns: Int,
    public val longRuns: Int,
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
            PoolLoad(
                pool,
                executors.sum { it.used },
                ready.sum { row -> row.step.request * row.tasks.count { it.phase == TaskPhase.Ready } },
                executors.sum { it.report.capacity },
                tables.configuration.pools[pool]?.standby == true,
            )
        }
    return FleetView(pools, tables.executors.mapValues { (_, row) -> loadOf(tables, row, now) })
}

private fun <T> Iterable<T>.sum(amount: (T) -> Resources): Resources =
    fold(Resources.None) { total, element -> total + amount(element) }

private fun loadOf(tables: FleetTables, row: ExecutorRow, now: Instant): ExecutorLoad {
    val (long, batch) = row.runs.keys.partition { tables.stepOf(it)?.step?.longRunning == true }
    return ExecutorLoad(
        row.identifier,
        row.report.pool,
        row.report.zone,
        row.report.draining || row.vanished,
        row.reachable,
        row.usable(now),
        batch.size,
        long.size,
    )
}
