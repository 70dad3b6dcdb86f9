package dogwoodgrade.scheduling

import kotlin.math.ceil
import kotlin.time.Instant

/**
 * Load of one pool.
 *
 * @property inUse resources reserved on its usable executors
 * @property waiting resources requested by tasks that wait for capacity
 * @property arriving resources that batch work will occupy if it keeps arriving at the present rate
 * @property minimumExecutors number of executors needed to satisfy the limits on tasks of one step per executor
 * @property capacity total capacity of its usable executors
 * @property standby whether its machines are switched off
 */
public data class PoolLoad(
    public val pool: String,
    public val inUse: Resources,
    public val waiting: Resources,
    public val arriving: Resources,
    public val minimumExecutors: Int,
    public val capacity: Resources,
    public val standby: Boolean,
)

/**
 * Runs on an executor that planned work on its machine would interrupt.
 *
 * @property draining whether the executor is leaving its pool or has left the live list
 * @property usable whether the executor can take new tasks
 * @property batchRuns number of runs that end by themselves
 * @property longRuns number of runs that have to be moved
 */
public data class ExecutorLoad(
    public val draining: Boolean,
    public val usable: Boolean,
    public val batchRuns: Int,
    public val longRuns: Int,
)

/**
 * A copy of the load of the fleet that may be read without the lock.
 *
 * @property silentZones availability zones of which no executor answers
 */
public data class FleetView(
    public val pools: Map<String, PoolLoad>,
    public val executors: Map<ExecutorIdentifier, ExecutorLoad>,
    public val silentZones: Set<String>,
)

/** Fraction of the tasks of late jobs that counts as demand; such jobs can no longer meet their objective. */
private const val LATE_DEMAND_SHARE: Double = 0.25

/** Fraction of its capacity from which on a pool counts as full; large tasks do not fill executors exactly. */
private const val FULL_POOL_SHARE: Double = 0.8

/**
 * Returns the load of the fleet.
 *
 * @param startsLimited whether the owner does not start tasks as fast as they become ready. In a pool that has room,
 * they wait for the owner, and further machines would stay half empty; in a pool that is full, they wait for machines.
 * After a takeover the limit is reached by whatever has accumulated, also by an owner that is fast enough.
 */
internal fun fleetView(
    tables: FleetTables,
    arrivals: ArrivalMeter,
    startsLimited: Boolean,
    now: Instant,
    wallTime: Instant,
): FleetView {
    val remainingCaps = tables.configuration.teams.mapValuesTo(
        mutableMapOf(),
    ) { (name, team) -> remainingCap(tables, name, team.cap) }
    val minimumExecutorsByPool = minimumExecutorsByPool(tables)
    val pools =
        tables.configuration.pools.keys.associateWith { pool ->
            val executors = tables.executors.values.filter { it.report.pool == pool && it.usable(now) }
            val used = executors.sum { it.used }
            val capacity = executors.sum { it.report.capacity }
            val waitsForOwner = startsLimited && !isFull(used, capacity)
            PoolLoad(
                pool,
                used,
                if (waitsForOwner) Resources.None else waitingRequest(tables, pool, remainingCaps, now, wallTime),
                if (waitsForOwner) Resources.None else arrivals.rate(pool, now),
                minimumExecutorsByPool[pool] ?: 0,
                capacity,
                tables.configuration.pools[pool]?.standby == true,
            )
        }
    return FleetView(pools, tables.executors.mapValues { (_, row) -> loadOf(row, now) }, tables.zones.silent)
}

/** Returns whether a pool has hardly any room for further tasks, be it for want of processors or of memory. */
private fun isFull(used: Resources, capacity: Resources): Boolean =
    used.processor >= capacity.processor * FULL_POOL_SHARE || used.memory >= capacity.memory * FULL_POOL_SHARE

/** Returns, by pool, how many executors its long-running steps with a limit on tasks per executor need. */
private fun minimumExecutorsByPool(tables: FleetTables): Map<String, Int> {
    val minimumExecutorsByPool = mutableMapOf<String, Int>()
    for (row in tables.jobs.values) {
        if (row.ended || !row.job.longRunning) continue
        for (step in row.job.steps) {
            if (step.tasksPerExecutor == 0) continue
            val executors = (step.count + step.tasksPerExecutor - 1) / step.tasksPerExecutor
            minimumExecutorsByPool.merge(tables.poolOf(row.job), executors, ::maxOf)
        }
    }
    return minimumExecutorsByPool
}

private fun remainingCap(tables: FleetTables, team: String, cap: Resources): Resources {
    val use = tables.teamUse[team] ?: Resources.None

    fun left(limit: Long, used: Long): Long = if (limit == 0L) Long.MAX_VALUE / 2 else maxOf(0, limit - used)
    return Resources(
        left(cap.processor, use.processor),
        left(cap.memory, use.memory),
        left(cap.accelerators, use.accelerators),
    )
}

/** Returns the total request of waiting tasks, without those that cannot start because of their team's cap. */
private fun waitingRequest(
    tables: FleetTables,
    pool: String,
    remainingCaps: MutableMap<String, Resources>,
    now: Instant,
    wallTime: Instant,
): Resources {
    var total = Resources.None
    for (row in tables.readySteps[pool].orEmpty()) {
        if (row.job.ended || row.step.usesSpareCapacity) continue
        val request = row.step.request
        val team = row.job.job.team
        val late =
            rankOf(row, tables.queueOf(row.job.job), false, now, wallTime).urgency == Urgency.Late
        var tasks = row.tasks.count { it.phase == TaskPhase.Ready }
        if (late) tasks = ceil(tasks * LATE_DEMAND_SHARE).toInt()
        repeat(tasks) {
            val left = team?.let { remainingCaps[it] }
            if (left != null && !request.fitsIn(left)) return@repeat
            if (left != null) remainingCaps[checkNotNull(team)] = left - request
            total += request
        }
    }
    return total
}

private fun <T> Iterable<T>.sum(amount: (T) -> Resources): Resources =
    fold(Resources.None) { total, element -> total + amount(element) }

private fun loadOf(row: ExecutorRow, now: Instant): ExecutorLoad =
    ExecutorLoad(
        row.report.draining || row.absentFromLiveList,
        row.usable(now),
        row.runs.size - row.longRuns + row.abandoned.size,
        row.longRuns,
    )
