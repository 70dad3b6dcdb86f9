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
 * Due instances in zones that are out of service come first, as they serve nothing; then racks whose due instances fit
 * into the budgets of all their pools, so that a rack is visited once; then other instances up to the rest of each
 * pool's budget. A pool drains in one zone at a time and uses its whole budget there, which takes
 * `sum over zones of ceil(due instances / budget)` waves, the fewest possible.
 *
 * Zones are ordered by their least recently maintained instance, and instances by their last maintenance. Failed
 * instances are not drained, but count against the budget of their pool.
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
    outOfService.sortedWith(oldestMaintenanceFirst).forEach(wave::addOutOfService)

    // Pools use the same order of zones where possible: a rack is in one zone, so it can only be drained as a whole if
    // all its pools drain in that zone.
    val zones = inService.groupBy(Instance::zone).mapValues { (_, members) -> members.minWith(oldestMaintenanceFirst) }
    val zoneOrder = zones.values
        .sortedWith(oldestMaintenanceFirst)
        .withIndex()
        .associate { (rank, first) -> first.zone to rank }
    val racks = inService.groupBy(Instance::rackKey).values.map { it.sortedWith(oldestMaintenanceFirst) }
    racks
        .sortedWith(
            compareBy<List<Instance>> { zoneOrder[it.first().zone] }.thenBy(oldestMaintenanceFirst) { it.first() },
        ).forEach(wave::addAllOrNone)
    val pending = inService.filter { it.name !in wave.selected }
    val preferred = compareBy<Instance> { zoneOrder[it.zone] }
    for ((pool, members) in pending.groupBy(Instance::pool)) wave.fill(pool, members, members.minWith(preferred).zone)
    return WavePlan(wave.drains(), due.size - wave.selected.size, wave.blocked(pending))
}

/**
 * Baseline for comparison with [planWave]: drains one instance of the scope at a time, in the order of names.
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
    usable.firstOrNull { wave.addAllOrNone(listOf(it)) }
    return WavePlan(
        wave.drains(),
        due.size - wave.selected.size,
        if (wave.selected.isEmpty()) wave.blocked(usable) else emptyMap(),
    )
}

private val oldestMaintenanceFirst: Comparator<Instance> =
    compareBy<Instance, Instant?>(nullsFirst()) { it.maintainedAt }.thenBy { it.rack }.thenBy { it.name }

private val Instance.rackKey: Any get() = zone to rack

/** Remaining budget of one pool, and the zone to which its planned work is restricted. */
private class PoolBudget(var remaining: Int, var zone: AvailabilityZone?)

/** Collects drains and counts budgets as the fold does. Not thread-safe; used within one call of a planner. */
private class WaveBuilder(private val state: ConfigurationState, private val options: WaveOptions) {
    private val result = LinkedHashMap<InstanceName, Instance>()
    private val budgets: Map<PoolName, PoolBudget> =
        state.pools.mapValuesTo(HashMap()) { PoolBudget(it.value.availabilityBudget, null) }
    private val poolsWithDrains = HashSet<PoolName>()
    private val startedRacks = HashSet<Any>()

    val selected: Set<InstanceName> get() = result.keys

    init {
        for (instance in state.instances.values) {
            val budget = budgets[instance.pool] ?: continue
            if (!state.isUsable(instance)) budget.remaining--
            if (instance.draining && state.isInService(instance.zone)) {
                // After a zone has returned to service or an instance has moved, a pool can have planned work in two
                // zones. The fold then rejects every drain of an instance in use.
                if (budget.zone != null && budget.zone != instance.zone) budget.remaining = Int.MIN_VALUE / 2
                budget.zone = instance.zone
                poolsWithDrains += instance.pool
            }
        }
    }

    fun drains(): List<DrainInstance> = result.keys.map { DrainInstance(it, options.wave) }

    /** Adds an instance of a zone that is out of service; it needs no budget. */
    fun addOutOfService(instance: Instance) {
        if (result.size < options.maximumDrains) result[instance.name] = instance
    }

    /** Adds all of [instances], or none of them if a budget or the limit would be exceeded. */
    fun addAllOrNone(instances: List<Instance>): Boolean {
        val fits =
            result.size + instances.size <= options.maximumDrains &&
                instances.groupBy(Instance::pool).all { (pool, members) ->
                    val budget = budgets[pool]
                    val zones = members.mapTo(HashSet(), Instance::zone).also { it.addAll(listOfNotNull(budget?.zone)) }
                    budget != null && budget.remaining >= members.size && zones.size == 1
                }
        if (fits) instances.forEach(::select)
        return fits
    }

    /** Uses the remaining budget of [pool] in the zone of its planned work, or in [preferred] if it has none. */
    fun fill(pool: PoolName, members: List<Instance>, preferred: AvailabilityZone) {
        val budget = budgets[pool] ?: return
        if (budget.remaining <= 0) return
        val zone = budget.zone ?: preferred
        val allowed = minOf(budget.remaining, options.maximumDrains - result.size).coerceAtLeast(0)
        members
            .filter { it.zone == zone }
            .sortedWith(compareByDescending<Instance> { it.rackKey in startedRacks }.then(oldestMaintenanceFirst))
            .take(allowed)
            .forEach(::select)
    }

    fun blocked(pending: List<Instance>): Map<PoolName, BlockReason> =
        pending
            .mapTo(HashSet(), Instance::pool)
            .filter { it !in poolsWithDrains }
            .associateWith { pool ->
                when {
                    (state.pools[pool]?.availabilityBudget ?: 0) == 0 -> BlockReason.NoBudget
                    (budgets[pool]?.remaining ?: 0) <= 0 -> BlockReason.BudgetInUse
                    else -> BlockReason.WaveLimit
                }
            }

    private fun select(instance: Instance) {
        val budget = budgets.getValue(instance.pool)
        budget.remaining--
        budget.zone = instance.zone
        poolsWithDrains += instance.pool
        startedRacks += instance.rackKey
        result[instance.name] = instance
    }
}
