package dogwoodgrade.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Maximum fraction of a pool that is emptied for maintenance at once; one machine is always allowed. */
private const val MAX_POOL_SHARE_AT_ONCE: Double = 0.34

/** Estimated time to empty a machine before its maintenance. */
private val EMPTYING_TIME: Duration = 3.seconds

/**
 * An order for the maintenance of one machine in a wave.
 *
 * @property orderedAt time at which the order was given
 * @property confirmed whether the platform has confirmed the order
 */
public data class MaintenanceOrder(
    public val machine: String,
    public val orderedAt: Instant,
    public val confirmed: Boolean,
)

/**
 * Progress of a maintenance wave.
 *
 * @property seenAt time at which the wave was first seen, from which its duration counts
 * @property maintained machines whose maintenance has begun or is finished
 * @property orders orders given by this owner, by machine
 */
public data class WaveProgress(
    public val wave: MaintenanceWave,
    public val seenAt: Instant,
    public val maintained: Set<String> = emptySet(),
    public val orders: Map<String, MaintenanceOrder> = emptyMap(),
)

/**
 * Runs on a machine's executor.
 *
 * @property batchRuns number of runs that end by themselves
 * @property longRuns number of runs that have to be moved before the maintenance
 */
public data class MachineLoad(
    public val batchRuns: Int,
    public val longRuns: Int,
)

/**
 * Next actions for a maintenance wave.
 *
 * @property empty machines to empty: they get no new tasks until their maintenance
 * @property maintain machines whose maintenance is to be ordered now
 * @property completed whether every machine of the wave that still exists has begun its maintenance
 */
public data class MaintenanceDecision(
    public val empty: Set<String>,
    public val maintain: List<String>,
    public val completed: Boolean,
)

/**
 * Decides which machines of a wave are emptied and which go into maintenance.
 *
 * Machines that are being emptied count against the wave's limit like those that are down, so that an emptied machine
 * never waits. If batch runs do not end in time for the wave, a machine goes into maintenance in spite of them;
 * long-running tasks are always moved first.
 */
public fun planMaintenance(
    progress: WaveProgress,
    emptying: Set<String>,
    machines: Map<String, Machine>,
    loads: (Machine) -> MachineLoad?,
    maintenanceTime: Duration,
    now: Instant,
): MaintenanceDecision {
    val wave = progress.wave
    val open = wave.machines.filter { it !in progress.maintained && it in machines }
    if (open.isEmpty()) return MaintenanceDecision(emptySet(), emptyList(), machines.isNotEmpty())
    val down = wave.machines.count { isDown(it, progress, machines, maintenanceTime, now) }
    val machineLimit = (wave.machinesAtOnce - down).coerceAtLeast(0)
    val chosen = chooseMachines(open, emptying, machines, loads, machineLimit)
    val late = isBehindSchedule(progress, open.size, maintenanceTime, now)
    val ready =
        chosen.filter { name ->
            val machine = machines.getValue(name)
            val load = loads(machine)
            machine.state == MachineState.Up &&
                name !in progress.orders &&
                (load == null || load.longRuns == 0 && (load.batchRuns == 0 || late))
        }
    val repeats = progress.orders.values
        .filter { !it.confirmed && it.machine in open }
        .map { it.machine }
    return MaintenanceDecision(chosen.toSet(), (repeats + ready).distinct(), false)
}

/** Returns whether a machine counts as down: from its order until it is up again and [maintenanceTime] has passed. */
private fun isDown(
    name: String,
    progress: WaveProgress,
    machines: Map<String, Machine>,
    maintenanceTime: Duration,
    now: Instant,
): Boolean {
    val order = progress.orders[name]
    if (machines[name]?.state == MachineState.Maintenance) return true
    return order != null && (!order.confirmed || now < order.orderedAt + maintenanceTime)
}

/** Returns whether the remaining machines no longer fit into the wave's duration if batch runs are waited for. */
private fun isBehindSchedule(progress: WaveProgress, open: Int, maintenanceTime: Duration, now: Instant): Boolean {
    val rounds = (open + progress.wave.machinesAtOnce - 1) / progress.wave.machinesAtOnce.coerceAtLeast(1)
    val needed = (maintenanceTime + EMPTYING_TIME) * rounds
    return now + needed > progress.seenAt + progress.wave.duration
}

/**
 * Chooses machines to empty: first those that are already being emptied, then those with the fewest runs to move, up to
 * a fraction of each pool.
 */
private fun chooseMachines(
    open: List<String>,
    emptying: Set<String>,
    machines: Map<String, Machine>,
    loads: (Machine) -> MachineLoad?,
    machineLimit: Int,
): List<String> {
    val chosen = open.filter { it in emptying }.take(machineLimit).toMutableList()
    val chosenPerPool = chosen.groupingBy { machines.getValue(it).pool }.eachCount().toMutableMap()
    val sizes = machines.values.groupingBy { it.pool }.eachCount()
    val candidates =
        open
            .filter { it !in chosen && machines.getValue(it).state == MachineState.Up }
            .sortedBy { name ->
                val load = loads(machines.getValue(name))
                if (load == null) 0 else load.longRuns * 100 + load.batchRuns
            }
    for (name in candidates) {
        if (chosen.size >= machineLimit) break
        val pool = machines.getValue(name).pool
        val maximum = ((sizes[pool] ?: 0) * MAX_POOL_SHARE_AT_ONCE).toInt().coerceAtLeast(1)
        if ((chosenPerPool[pool] ?: 0) >= maximum) continue
        chosenPerPool.merge(pool, 1, Int::plus)
        chosen += name
    }
    return chosen
}
