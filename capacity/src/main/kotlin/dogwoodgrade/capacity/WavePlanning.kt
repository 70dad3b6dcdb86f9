package dogwoodgrade.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Largest part of a pool that maintenance takes away at once, unless a single machine is more. */
private const val POOL_SHARE_AT_ONCE: Double = 0.34

/** Time that one machine's maintenance takes with emptying it before, beyond the maintenance itself. */
private val emptyingTime: Duration = 3.seconds

/**
 * What is known of one machine's maintenance in a wave.
 *
 * @property orderedAt when the order was given whose effect may still last, or `null`
 * @property confirmed the platform has confirmed the order
 */
public data class MaintenanceOrder(
    public val machine: String,
    public val orderedAt: Instant,
    public val confirmed: Boolean,
)

/**
 * A wave with its progress.
 *
 * @property maintained machines whose maintenance has begun or is over
 * @property orders orders given by this owner, by machine
 */
public data class WaveProgress(
    public val wave: MaintenanceWave,
    public val seenAt: Instant,
    public val maintained: Set<String> = emptySet(),
    public val orders: Map<String, MaintenanceOrder> = emptyMap(),
)

/**
 * Load of the machine's executor.
 *
 * @property batchRuns runs that end by themselves
 * @property longRuns runs that have to be moved before
 */
public data class MachineLoad(
    public val batchRuns: Int,
    public val longRuns: Int,
)

/**
 * What to do for a wave now.
 *
 * @property empty machines that get no new work until their maintenance
 * @property maintain machines to order into maintenance now
 * @property completed every machine of the wave that still exists has begun its maintenance
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
 * never waits. A machine whose batch runs do not end in time for the wave goes with them; long-running tasks are
 * always moved before.
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
    val room = (wave.machinesAtOnce - down).coerceAtLeast(0)
    val chosen = chooseMachines(open, emptying, machines, loads, room)
    val late = mustHurry(progress, open.size, maintenanceTime, now)
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

/** A machine counts as down from its order until it was seen up again after its maintenance time. */
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

private fun mustHurry(progress: WaveProgress, open: Int, maintenanceTime: Duration, now: Instant): Boolean {
    val rounds = (open + progress.wave.machinesAtOnce - 1) / progress.wave.machinesAtOnce.coerceAtLeast(1)
    val needed = (maintenanceTime + emptyingTime) * rounds
    return now + needed > progress.seenAt + progress.wave.duration
}

/** Goes on with machines that are being emptied, then takes those with the least to move, a part of a pool at once. */
private fun chooseMachines(
    open: List<String>,
    emptying: Set<String>,
    machines: Map<String, Machine>,
    loads: (Machine) -> MachineLoad?,
    room: Int,
): List<String> {
    val chosen = open.filter { it in emptying }.take(room).toMutableList()
    val taken = chosen.groupingBy { machines.getValue(it).pool }.eachCount().toMutableMap()
    val sizes = machines.values.groupingBy { it.pool }.eachCount()
    val candidates =
        open
            .filter { it !in chosen && machines.getValue(it).state == MachineState.Up }
            .sortedBy { name ->
                val load = loads(machines.getValue(name))
                if (load == null) 0 else load.longRuns * 100 + load.batchRuns
            }
    for (name in candidates) {
        if (chosen.size >= room) break
        val pool = machines.getValue(name).pool
        val most = ((sizes[pool] ?: 0) * POOL_SHARE_AT_ONCE).toInt().coerceAtLeast(1)
        if ((taken[pool] ?: 0) >= most) continue
        taken.merge(pool, 1, Int::plus)
        chosen += name
    }
    return chosen
}
