package dogwoodgrade.capacity

import dogwoodgrade.scheduling.Resources
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Figures that pools are sized with.
 *
 * @property smallestPool machines that every pool keeps, in several zones if possible; a burst is served by them until
 * others have come
 * @property idleHeadroom factor on the demand of a calm pool
 * @property growthAt use of a pool's room above which a burst is assumed
 * @property growthFactor factor on the demand of a pool in a burst, which goes on rising while machines move
 * @property earlyGrowthFactor the same while the pool has at most twice its smallest size: a burst has just begun
 * @property arrivalFactor factor on the work that arrives, for what does not fit side by side
 * @property waitingShare part of what waits that counts as demand; the rest follows when the first tasks have ended
 * @property surplusTime time a pool has more than it needs before it gives machines away; a move costs about what a
 * second of a machine costs
 * @property movesAtOnce most orders of one plan
 */
public data class SizingPolicy(
    public val smallestPool: Int = 3,
    public val idleHeadroom: Double = 1.25,
    public val growthAt: Double = 0.6,
    public val growthFactor: Double = 1.15,
    public val earlyGrowthFactor: Double = 1.5,
    public val arrivalFactor: Double = 1.1,
    public val waitingShare: Double = 0.6,
    public val surplusTime: Duration = 1200.milliseconds,
    public val movesAtOnce: Int = 8,
)

/**
 * Demand of a pool.
 *
 * @property inUse what runs
 * @property waiting what waits for room
 * @property arriving what the arriving work keeps busy if it goes on arriving
 * @property spread machines that the limits on tasks of one step per machine ask for
 * @property standby its machines are switched off
 */
public data class PoolDemand(
    public val pool: String,
    public val inUse: Resources,
    public val waiting: Resources,
    public val arriving: Resources,
    public val spread: Int,
    public val standby: Boolean,
)

/**
 * State of a machine for sizing.
 *
 * @property usable its executor takes work now, or will once the machine has moved
 * @property movable nothing runs on it, and no other order for it is under way
 * @property evacuated nothing may start in its zone
 */
public data class SizedMachine(
    public val machine: Machine,
    public val usable: Boolean,
    public val movable: Boolean,
    public val evacuated: Boolean = false,
)

/** An order to move a machine. */
public data class MachineMove(
    public val machine: Machine,
    public val pool: String,
)

/**
 * Result of sizing.
 *
 * @property surplusSince since when each pool has more machines than it needs
 * @property wanted machines that each pool needs
 */
public data class SizingPlan(
    public val moves: List<MachineMove>,
    public val surplusSince: Map<String, Instant>,
    public val wanted: Map<String, Int>,
)

/**
 * Decides which machines move between pools and standby.
 *
 * The pool that has the smallest part of what its work needs is served first; pools that only lack machines up to their
 * smallest size come last. It takes machines from standby, then from pools that have more than they need. Surplus
 * machines go to standby after a while, those in evacuated zones at once.
 */
public fun planPoolSizes(
    demands: List<PoolDemand>,
    machines: List<SizedMachine>,
    surplusSince: Map<String, Instant>,
    policy: SizingPolicy,
    now: Instant,
): SizingPlan {
    val standby = demands.filter { it.standby }.map { it.pool }.toSet()
    val active = demands.filter { !it.standby }
    val usable = machines.filter { it.usable }.groupBy { it.machine.pool }
    val needed = active.associate { it.pool to machinesFor(it, usable[it.pool].orEmpty(), machines, policy) }
    val wanted = needed.mapValues { (_, count) -> maxOf(policy.smallestPool, count) }
    val size = active.associateTo(mutableMapOf()) { it.pool to usable[it.pool].orEmpty().size }
    val free = machines.filter { it.movable && !it.evacuated }.toMutableList()
    val moves = grow(needed, wanted, size, free, standby, machines, policy)
    val surplus = size.filter { (pool, count) -> count > wanted.getValue(pool) }.keys
    val since = surplus.associateWith { surplusSince[it] ?: now }
    val returned = standby.firstOrNull()?.let { returns(since, free, size, wanted, it, policy, now) }.orEmpty()
    val evacuees = machines.filter { it.movable && it.evacuated && it.machine.pool !in standby }
    val left = standby.firstOrNull()?.let { pool -> evacuees.map { MachineMove(it.machine, pool) } }.orEmpty()
    return SizingPlan(moves + (left + returned).take(policy.movesAtOnce - moves.size), since, wanted)
}

/** Gives machines to the pools in need, one after the other; [size] and [free] follow. */
private fun grow(
    needed: Map<String, Int>,
    wanted: Map<String, Int>,
    size: MutableMap<String, Int>,
    free: MutableList<SizedMachine>,
    standby: Set<String>,
    machines: List<SizedMachine>,
    policy: SizingPolicy,
): List<MachineMove> {
    val moves = mutableListOf<MachineMove>()
    val order =
        compareBy<String>(
            { size.getValue(it) >= needed.getValue(it) },
            { size.getValue(it).toDouble() / wanted.getValue(it) },
        )
    while (moves.size < policy.movesAtOnce) {
        val needy = wanted.keys.filter { size.getValue(it) < wanted.getValue(it) }.sortedWith(order)
        val (pool, donor) =
            needy.firstNotNullOfOrNull { pool ->
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
    usable: List<SizedMachine>,
    machines: List<SizedMachine>,
    policy: SizingPolicy,
): Int {
    val unit = (usable.ifEmpty { machines }).map { it.machine.capacity }.firstOrNull() ?: return 0
    val load = share(demand.inUse, unit) + share(demand.waiting, unit) * policy.waitingShare
    val factor =
        when {
            load <= usable.size * policy.growthAt -> policy.idleHeadroom
            usable.size <= policy.smallestPool * 2 -> policy.earlyGrowthFactor
            else -> policy.growthFactor
        }
    val arriving = share(demand.arriving, unit) * policy.arrivalFactor
    return maxOf(demand.spread, ceil(maxOf(load * factor, arriving)).toInt())
}

/** Returns how many machines of the size [unit] an amount fills. */
private fun share(amount: Resources, unit: Resources): Double =
    maxOf(share(amount.processor, unit.processor), share(amount.memory, unit.memory))

private fun share(amount: Long, capacity: Long): Double = if (capacity <= 0) 0.0 else amount.toDouble() / capacity

/** Prefers standby, then machines in zones where the pool has few. */
private fun chooseDonor(
    pool: String,
    free: List<SizedMachine>,
    standby: Set<String>,
    size: Map<String, Int>,
    wanted: Map<String, Int>,
    machines: List<SizedMachine>,
): SizedMachine? {
    val zones = machines.filter { it.machine.pool == pool }.groupingBy { it.machine.zone }.eachCount()
    return free
        .filter { donor ->
            val from = donor.machine.pool
            from != pool && (from in standby || (size[from] ?: 0) > (wanted[from] ?: Int.MAX_VALUE))
        }.minWithOrNull(
            compareBy({ it.machine.pool !in standby }, { zones[it.machine.zone] ?: 0 }, { it.machine.name }),
        )
}

/** Gives surplus machines away from the zones where the pool has the most. */
private fun returns(
    surplus: Map<String, Instant>,
    free: List<SizedMachine>,
    size: Map<String, Int>,
    wanted: Map<String, Int>,
    standby: String,
    policy: SizingPolicy,
    now: Instant,
): List<MachineMove> =
    surplus.filter { now - it.value >= policy.surplusTime }.keys.flatMap { pool ->
        val zones = free.filter { it.machine.pool == pool }.groupBy { it.machine.zone }
        val ranked = zones.values.flatMap { machines -> machines.mapIndexed { rank, machine -> rank to machine } }
        ranked
            .sortedByDescending { it.first }
            .map { it.second }
            .take(size.getValue(pool) - wanted.getValue(pool))
            .map { MachineMove(it.machine, standby) }
    }
