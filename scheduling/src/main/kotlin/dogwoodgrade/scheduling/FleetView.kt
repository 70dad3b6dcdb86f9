package dogwoodgrade.scheduling

import kotlin.math.ceil
import kotlin.time.Instant

/**
 * Load of one pool.
 *
 * @property inUse what runs
 * @property waiting request of the tasks that wait for room
 * @property arriving what the arriving batch work keeps busy if it goes on arriving
 * @property spread executors that the limits on tasks of one step per executor ask for
 * @property capacity what the usable executors offer
 */
public data class PoolLoad(
    public val pool: String,
    public val inUse: Resources,
    public val waiting: Resources,
    public val arriving: Resources,
    public val spread: Int,
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
    public val draining: Boolean,
    public val usable: Boolean,
    public val batchRuns: Int,
    public val longRuns: Int,
)

/**
 * A copy of the load of the fleet that other decisions may use without the lock.
 *
 * @property silentZones availability zones of which no executor answers
 */
public data class FleetView(
    public val pools: Map<String, PoolLoad>,
    public val executors: Map<ExecutorIdentifier, ExecutorLoad>,
    public val silentZones: Set<String>,
)

/** Part of the request of jobs that cannot meet their objective any more that counts as demand. */
private const val LATE_DEMAND: Double = 0.25

internal fun fleetView(tables: FleetTables, arrivals: ArrivalMeter, now: Instant, wall: Instant): FleetView {
    val room = tables.configuration.teams.mapValuesTo(
        mutableMapOf(),
    ) { (name, team) -> remainingCap(tables, name, team.cap) }
    val spreads = spreads(tables)
    val pools =
        tables.configuration.pools.keys.associateWith { pool ->
            val executors = tables.executors.values.filter { it.report.pool == pool && it.usable(now) }
            PoolLoad(
                pool,
                executors.sum { it.used },
                waitingRequest(tables, pool, room, now, wall),
                arrivals.rate(pool, now),
                spreads[pool] ?: 0,
                executors.sum { it.report.capacity },
                tables.configuration.pools[pool]?.standby == true,
            )
        }
    return FleetView(pools, tables.executors.mapValues { (_, row) -> loadOf(row, now) }, tables.zones.silent)
}

/** Returns the executors that long-running steps with a limit on tasks per executor need, by pool. */
private fun spreads(tables: FleetTables): Map<String, Int> {
    val spreads = mutableMapOf<String, Int>()
    for (row in tables.jobs.values) {
        if (row.ended || !row.job.longRunning) continue
        for (step in row.job.steps) {
            if (step.tasksPerExecutor == 0) continue
            val executors = (step.count + step.tasksPerExecutor - 1) / step.tasksPerExecutor
            spreads.merge(tables.poolOf(row.job), executors, ::maxOf)
        }
    }
    return spreads
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

/** Adds up what waits for room, without what the caps of teams keep from starting. */
private fun waitingRequest(
    tables: FleetTables,
    pool: String,
    room: MutableMap<String, Resources>,
    now: Instant,
    wall: Instant,
): Resources {
    var total = Resources.None
    for (row in tables.readySteps[pool].orEmpty()) {
        if (row.job.ended || row.step.usesSpareCapacity) continue
        val request = row.step.request
        val team = row.job.job.team
        val late = rankOf(row, tables.configuration.queues[row.job.job.queue], false, now, wall).urgency == Urgency.Late
        var tasks = row.tasks.count { it.phase == TaskPhase.Ready }
        if (late) tasks = ceil(tasks * LATE_DEMAND).toInt()
        repeat(tasks) {
            val left = team?.let { room[it] }
            if (left != null && !request.fitsIn(left)) return@repeat
            if (left != null) room[checkNotNull(team)] = left - request
            total += request
        }
    }
    return total
}

private fun <T> Iterable<T>.sum(amount: (T) -> Resources): Resources =
    fold(Resources.None) { total, element -> total + amount(element) }

private fun loadOf(row: ExecutorRow, now: Instant): ExecutorLoad =
    ExecutorLoad(
        row.report.draining || row.vanished,
        row.usable(now),
        row.runs.size - row.longRuns + row.abandoned.size,
        row.longRuns,
    )
