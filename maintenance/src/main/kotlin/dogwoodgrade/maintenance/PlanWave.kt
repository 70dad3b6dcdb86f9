package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import kotlin.time.Instant

/**
 * Proposes as many drains as the availability budgets permit.
 *
 * The order is: due instances in zones that are out of service, as they serve nothing; then racks whose due instances
 * fit into the budgets of all their pools, so that a rack is visited once; then the rest of each pool's budget. A pool
 * works in one zone at a time and always fills its budget there, which takes
 * `sum over zones of ceil(due instances / budget)` waves, the fewest possible.
 *
 * The zone with the instance longest not maintained comes first, and in it the instances longest not maintained.
 * Failed instances are not drained, and they use up their pool's budget.
 */
public fun planWave(
    state: ConfigurationState,
    scope: MaintenanceScope,
    now: Instant,
    options: WaveOptions,
): WavePlan {
    val due = state.instances.values.filter { !it.draining && it in scope && it.isDue(options, now) }
    val (inService, outOfService) = due.filter { !it.failed }.partition { state.isInService(it.zone) }
    val wave = WaveBuilder(state, options)
    outOfService.sortedWith(longestFirst).forEach(wave::addFree)

    // All pools work through the zones in the same order where they can: a rack is in one zone, so it can only be
    // drained as a whole if its pools work in the same zone.
    val zones = inService.groupBy(Instance::zone).mapValues { (_, members) -> members.minWith(longestFirst) }
    val zoneOrder = zones.values
        .sortedWith(longestFirst)
        .withIndex()
        .associate { (rank, first) -> first.zone to rank }
    val racks = inService.groupBy(Instance::rackKey).values.map { it.sortedWith(longestFirst) }
    racks
        .sortedWith(compareBy<List<Instance>> { zoneOrder[it.first().zone] }.thenBy(longestFirst) { it.first() })
        .forEach(wave::addWhole)
    val left = inService.filter { it.name !in wave.chosen }
    val preferred = compareBy<Instance> { zoneOrder[it.zone] }
    for ((pool, members) in left.groupBy(Instance::pool)) wave.fill(pool, members, members.minWith(preferred).zone)
    return WavePlan(wave.drains(), due.size - wave.chosen.size, wave.blocked(left))
}

/**
 * Baseline of [planWave]: one instance of the whole scope at a time, in the order of their names.
 */
public fun planOneAtATime(
    state: ConfigurationState,
    scope: MaintenanceScope,
    now: Instant,
    options: WaveOptions,
): WavePlan {
    val due = state.instances.values.filter { !it.draining && it in scope && it.isDue(options, now) }
    if (options.maximumDrains < 1 || state.instances.values.any { it.draining && it in scope }) {
        return WavePlan(emptyList(), due.size, emptyMap())
    }
    val wave = WaveBuilder(state, options.copy(maximumDrains = 1))
    val usable = due.filter(state::isUsable).sortedBy(Instance::name)
    usable.firstOrNull { wave.addWhole(listOf(it)) }
    return WavePlan(
        wave.drains(),
        due.size - wave.chosen.size,
        if (wave.chosen.isEmpty()) wave.blocked(usable) else emptyMap(),
    )
}

private val longestFirst: Comparator<Instance> =
    compareBy<Instance, Instant?>(nullsFirst()) { it.maintainedAt }.thenBy { it.rack }.thenBy { it.name }

private val Instance.rackKey: Any get() = zone to rack

/** Budget left in one pool, and the zone that planned work has to stay in. */
private class PoolRoom(var budget: Int, var zone: AvailabilityZone?)

/** Collects drains and keeps the same account of the budgets as the fold. Used within one call of a planner only. */
private class WaveBuilder(private val state: ConfigurationState, private val options: WaveOptions) {
    private val result = LinkedHashMap<InstanceName, Instance>()
    private val rooms: Map<PoolName, PoolRoom> =
        state.pools.mapValuesTo(HashMap()) { PoolRoom(it.value.availabilityBudget, null) }
    private val working = HashSet<PoolName>()
    private val startedRacks = HashSet<Any>()

    val chosen: Set<InstanceName> get() = result.keys

    init {
        for (instance in state.instances.values) {
            val room = rooms[instance.pool] ?: continue
            if (!state.isUsable(instance)) room.budget--
            if (instance.draining && state.isInService(instance.zone)) {
                // A zone that came back or a moved instance can leave planned work in two zones of a pool. The fold
                // then accepts no drain of an instance in use.
                if (room.zone != null && room.zone != instance.zone) room.budget = Int.MIN_VALUE / 2
                room.zone = instance.zone
                working += instance.pool
            }
        }
    }

    fun drains(): List<DrainInstance> = result.keys.map { DrainInstance(it, options.wave) }

    /** Adds an instance that serves nothing now. */
    fun addFree(instance: Instance) {
        if (result.size < options.maximumDrains) result[instance.name] = instance
    }

    /** Adds all of [instances], or none of them if a budget or the limit would be exceeded. */
    fun addWhole(instances: List<Instance>): Boolean {
        val fits =
            result.size + instances.size <= options.maximumDrains &&
                instances.groupBy(Instance::pool).all { (pool, members) ->
                    val room = rooms[pool]
                    val zones = members.mapTo(HashSet(), Instance::zone).also { it.addAll(listOfNotNull(room?.zone)) }
                    room != null && room.budget >= members.size && zones.size == 1
                }
        if (fits) instances.forEach(::take)
        return fits
    }

    /** Uses the rest of the budget of [pool] in the zone where it works already, or else in [preferred]. */
    fun fill(pool: PoolName, members: List<Instance>, preferred: AvailabilityZone) {
        val room = rooms[pool] ?: return
        if (room.budget <= 0) return
        val zone = room.zone ?: preferred
        val free = minOf(room.budget, options.maximumDrains - result.size).coerceAtLeast(0)
        members
            .filter { it.zone == zone }
            .sortedWith(compareByDescending<Instance> { it.rackKey in startedRacks }.then(longestFirst))
            .take(free)
            .forEach(::take)
    }

    fun blocked(left: List<Instance>): Map<PoolName, BlockReason> =
        left
            .mapTo(HashSet(), Instance::pool)
            .filter { it !in working }
            .associateWith { pool ->
                when {
                    (state.pools[pool]?.availabilityBudget ?: 0) == 0 -> BlockReason.NoBudget
                    (rooms[pool]?.budget ?: 0) <= 0 -> BlockReason.BudgetInUse
                    else -> BlockReason.WaveLimit
                }
            }

    private fun take(instance: Instance) {
        val room = rooms.getValue(instance.pool)
        room.budget--
        room.zone = instance.zone
        working += instance.pool
        startedRacks += instance.rackKey
        result[instance.name] = instance
    }
}
