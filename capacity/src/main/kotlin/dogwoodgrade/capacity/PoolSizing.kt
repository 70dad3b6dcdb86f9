package dogwoodgrade.capacity

import dogwoodgrade.scheduling.Resources
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Parameters of pool sizing.
 *
 * @property minimumPoolSize number of machines that every pool keeps, in several zones if possible; they serve a burst
 * until others have joined
 * @property idleHeadroomFactor factor on the demand of a pool that is not in a burst
 * @property growthThreshold ratio of the demand to the size of a pool above which a burst is assumed
 * @property growthFactor factor on the demand of a pool in a burst, because demand keeps rising while machines move
 * @property earlyGrowthFactor the same factor for a pool of at most twice the minimum size, since its burst has just
 * begun
 * @property arrivalFactor factor on the arriving work, for capacity that is lost because tasks do not fill machines
 * exactly
 * @property waitingShare fraction of the waiting work that counts as demand; the rest can run when the first tasks have
 * ended
 * @property surplusDelay time for which a pool has surplus machines before it gives them away, because a move costs
 * about as much as a machine costs for one second
 * @property maximumMovesPerPlan maximum number of moves in one plan
 */
public data class SizingPolicy(
    public val minimumPoolSize: Int = 3,
    public val idleHeadroomFactor: Double = 1.25,
    public val growthThreshold: Double = 0.6,
    public val growthFactor: Double = 1.15,
    public val earlyGrowthFactor: Double = 1.5,
    public val arrivalFactor: Double = 1.1,
    public val waitingShare: Double = 0.6,
    public val surplusDelay: Duration = 1200.milliseconds,
    public val maximumMovesPerPlan: Int = 8,
)

/**
 * Demand of a pool.
 *
 * @property inUse resources reserved by running tasks
 * @property waiting resources requested by tasks that wait for capacity
 * @property arriving resources that work will occupy if it keeps arriving at the present rate
 * @property minimumMachines number of machines needed to satisfy the limits on tasks of one step per machine
 * @property standby whether its machines are switched off
 */
public data class PoolDemand(
    public val pool: String,
    public val inUse: Resources,
    public val waiting: Resources,
    public val arriving: Resources,
    public val minimumMachines: Int,
    public val standby: Boolean,
)

/**
 * State of a machine for sizing.
 *
 * @property usable whether its executor takes tasks now, or will once the machine has moved
 * @property movable whether nothing runs on it and no other order for it is in progress
 * @property evacuated whether its zone is evacuated, so that nothing may start there
 */
public data class MachineAvailability(
    public val machine: Machine,
    public val usable: Boolean,
    public val movable: Boolean,
    public val evacuated: Boolean = false,
)

/** A move of a machine to [pool]. */
public data class MachineMove(
    public val machine: Machine,
    public val pool: String,
)

/**
 * Result of sizing.
 *
 * @property moves moves to order now
 * @property surplusSince time since which each pool has had more machines than it needs
 * @property wanted number of machines that each pool needs
 */
public data class SizingPlan(
    public val moves: List<MachineMove>,
    public val surplusSince: Map<String, Instant>,
    public val wanted: Map<String, Int>,
)

/**
 * Decides which machines move between pools and standby.
 *
 * The pool with the smallest ratio of its size to its need gets machines first; pools that have enough machines for
 * their work, but fewer than the minimum size, come last. Machines come from standby, then from pools with a surplus.
 * Surplus machines go to standby after [SizingPolicy.surplusDelay], those in evacuated zones at once.
 */
public fun planPoolSizes(
    demands: List<PoolDemand>,
    machines: List<MachineAvailability>,
    surplusSince: Map<String, Instant>,
    policy: SizingPolicy,
    now: Instant,
): SizingPlan {
    val standby = demands.filter { it.standby }.map { it.pool }.toSet()
    val active = demands.filter { !it.standby }
    val usable = machines.filter { it.usable }.groupBy { it.machine.pool }
    val needed = active.associate { it.pool to machinesFor(it, usable[it.pool].orEmpty(), machines, policy) }
    val wanted = needed.mapValues { (_, count) -> maxOf(policy.minimumPoolSize, count) }
    val size = active.associateTo(mutableMapOf()) { it.pool to usable[it.pool].orEmpty().size }
    val free = machines.filter { it.movable && !it.evacuated }.toMutableList()
    val moves = growPools(needed, wanted, size, free, standby, machines, policy)
    val surplus = size.filter { (pool, count) -> count > wanted.getValue(pool) }.keys
    val since = surplus.associateWith { surplusSince[it] ?: now }
    val standbyMoves =
        standby.firstOrNull()?.let { moveSurplusToStandby(since, free, size, wanted, it, policy, now) }.orEmpty()
    val evacuees = machines.filter { it.movable && it.evacuated && it.machine.pool !in standby }
    val evacuationMoves =
        standby.firstOrNull()?.let { pool -> evacuees.map { MachineMove(it.machine, pool) } }.orEmpty()
    return SizingPlan(
        moves + (evacuationMoves + standbyMoves).take(policy.maximumMovesPerPlan - moves.size),
        since,
        wanted,
    )
}

/** Assigns machines one by one to the pools that need them most. Updates [size] and [free]. */
private fun growPools(
    needed: Map<String, Int>,
    wanted: Map<String, Int>,
    size: MutableMap<String, Int>,
    free: MutableList<MachineAvailability>,
    standby: Set<String>,
    machines: List<MachineAvailability>,
    policy: SizingPolicy,
): List<MachineMove> {
    val moves = mutableListOf<MachineMove>()
    val neediestFirst =
        compareBy<String>(
            { size.getValue(it) >= needed.getValue(it) },
            { size.getValue(it).toDouble() / wanted.getValue(it) },
        )
    while (moves.size < policy.maximumMovesPerPlan) {
        val undersized = wanted.keys.filter { size.getValue(it) < wanted.getValue(it) }.sortedWith(neediestFirst)
        val (pool, donor) =
            undersized.firstNotNullOfOrNull { pool ->
                chooseDonor(pool, free, standby, size, wanted, machines)?.let { pool to it }
            } ?: break
        free -= donor
        size.computeIfPresent(donor.machine.pool) { _, count -> count - 1 }
        size.merge(pool, 1, Int::plus)
        moves += MachineMove(donor.machine, pool)
    }
    return moves
}

/** Returns how many machines the work of a pool needs. */
private fun machinesFor(
    demand: PoolDemand,
    usable: List<MachineAvailability>,
    machines: List<MachineAvailability>,
    policy: SizingPolicy,
): Int {
    val machineSize = (usable.ifEmpty { machines }).map { it.machine.capacity }.firstOrNull() ?: return 0
    val load =
        machinesFilled(demand.inUse, machineSize) + machinesFilled(demand.waiting, machineSize) * policy.waitingShare
    val factor =
        when {
            load <= usable.size * policy.growthThreshold -> policy.idleHeadroomFactor
            usable.size <= policy.minimumPoolSize * 2 -> policy.earlyGrowthFactor
            else -> policy.growthFactor
        }
    val arriving = machinesFilled(demand.arriving, machineSize) * policy.arrivalFactor
    return maxOf(demand.minimumMachines, ceil(maxOf(load * factor, arriving)).toInt())
}

/** Returns how many machines of capacity [machineSize] an amount fills. */
private fun machinesFilled(amount: Resources, machineSize: Resources): Double =
    maxOf(machinesFilled(amount.processor, machineSize.processor), machinesFilled(amount.memory, machineSize.memory))

private fun machinesFilled(amount: Long, capacity: Long): Double =
    if (capacity <= 0) 0.0 else amount.toDouble() / capacity

/** Chooses a machine for [pool]: first from standby, then from the zone where the pool has the fewest machines. */
private fun chooseDonor(
    pool: String,
    free: List<MachineAvailability>,
    standby: Set<String>,
    size: Map<String, Int>,
    wanted: Map<String, Int>,
    machines: List<MachineAvailability>,
): MachineAvailability? {
    val zones = machines.filter { it.machine.pool == pool }.groupingBy { it.machine.zone }.eachCount()
    return free
        .filter { donor ->
            val from = donor.machine.pool
            from != pool && (from in standby || (size[from] ?: 0) > (wanted[from] ?: Int.MAX_VALUE))
        }.minWithOrNull(
            compareBy({ it.machine.pool !in standby }, { zones[it.machine.zone] ?: 0 }, { it.machine.name }),
        )
}

/** Moves surplus machines to standby, from the zones where their pool has the most. */
private fun moveSurplusToStandby(
    surplus: Map<String, Instant>,
    free: List<MachineAvailability>,
    size: Map<String, Int>,
    wanted: Map<String, Int>,
    standby: String,
    policy: SizingPolicy,
    now: Instant,
): List<MachineMove> =
    surplus.filter { now - it.value >= policy.surplusDelay }.keys.flatMap { pool ->
        val zones = free.filter { it.machine.pool == pool }.groupBy { it.machine.zone }
        val ranked = zones.values.flatMap { machines -> machines.mapIndexed { rank, machine -> rank to machine } }
        ranked
            .sortedByDescending { it.first }
            .map { it.second }
            .take(size.getValue(pool) - wanted.getValue(pool))
            .map { MachineMove(it.machine, standby) }
    }
