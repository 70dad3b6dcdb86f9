package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName

/**
 * Target sizes of pools and the source of additional instances.
 *
 * @property targetSizes number of instances, neither failed nor in a zone out of service, that each pool should have;
 * a draining instance counts, as it returns. Pools that are not listed keep their size.
 * @property sparePool pool that lends instances to other pools and takes them back
 * @property toleratedLoss number of missing instances up to which a pool gets none; a larger number means fewer moves
 * @property movedInWave instances that have been moved in this wave; they are not moved again
 */
public data class MoveOptions(
    public val targetSizes: Map<PoolName, Int>,
    public val sparePool: PoolName,
    public val toleratedLoss: Int = 0,
    public val movedInWave: Set<InstanceName> = emptySet(),
)

/**
 * Proposes the fewest moves that restore the target sizes of the pools.
 *
 * A pool with a shortage first gets the surplus of other pools, which saves the move through the spare pool, and then
 * spare instances. The rest of a surplus returns to the spare pool. Pools with the largest shortage relative to their
 * size are served first. Of the available instances, the receiver gets one in the zone, and then in the rack, where it
 * has the fewest instances.
 */
public fun planMoves(state: ConfigurationState, options: MoveOptions): List<MoveInstance> {
    val moves = MoveBuilder(state, options)
    val receivers =
        options.targetSizes.keys
            .filter { it in state.pools && it != options.sparePool && moves.shortage(it) > options.toleratedLoss }
            .sortedWith(compareBy({ -moves.shortage(it).toDouble() / options.targetSizes.getValue(it) }, { it }))
    // Each pool gets one instance per round, so that the pools share a shortage of spares.
    var progress = true
    while (progress) {
        progress = false
        for (pool in receivers) {
            if (moves.shortage(pool) > 0 && moves.moveInto(pool)) progress = true
        }
    }
    for (pool in options.targetSizes.keys
        .filter { it != options.sparePool }
        .sorted()) {
        var surplus = moves.shortage(pool) < 0
        while (surplus) surplus = moves.moveToSparePool(pool) && moves.shortage(pool) < 0
    }
    return moves.result
}

/** Collects moves and tracks their effect on the pools. Not thread-safe; used within one call of [planMoves]. */
private class MoveBuilder(state: ConfigurationState, private val options: MoveOptions) {
    val result = ArrayList<MoveInstance>()
    private val members = HashMap<PoolName, MutableList<Instance>>()
    private val movable: (Instance) -> Boolean = { state.isUsable(it) && it.name !in moved }
    private val moved = HashSet(options.movedInWave)

    init {
        for (instance in state.instances.values) {
            if (instance.failed || !state.isInService(instance.zone)) continue
            members.getOrPut(instance.pool) { ArrayList() } += instance
        }
    }

    fun shortage(pool: PoolName): Int = (options.targetSizes[pool] ?: sizeOf(pool)) - sizeOf(pool)

    /** Moves the best available instance into [pool]; returns `false` if there is none. */
    fun moveInto(pool: PoolName): Boolean {
        val surplus = options.targetSizes.keys.filter { it != options.sparePool && shortage(it) < 0 }
        val candidates =
            surplus.flatMap { members[it].orEmpty().filter(movable) }.ifEmpty {
                members[options.sparePool].orEmpty().filter(movable)
            }
        val best = candidates.minWithOrNull(spreadOrder(pool).thenBy { it.name }) ?: return false
        move(best, pool)
        return true
    }

    /** Moves an instance of the zone, and then the rack, where [pool] has the most instances to the spare pool. */
    fun moveToSparePool(pool: PoolName): Boolean {
        val candidates = members[pool].orEmpty().filter(movable)
        val best = candidates.minWithOrNull(spreadOrder(pool).reversed().thenBy { it.name }) ?: return false
        move(best, options.sparePool)
        return true
    }

    private fun spreadOrder(pool: PoolName): Comparator<Instance> {
        val zones = members[pool].orEmpty().groupingBy(Instance::zone).eachCount()
        val racks = members[pool].orEmpty().groupingBy { it.zone to it.rack }.eachCount()
        return compareBy({ zones[it.zone] ?: 0 }, { racks[it.zone to it.rack] ?: 0 })
    }

    private fun move(instance: Instance, to: PoolName) {
        result += MoveInstance(instance.name, instance.pool, to)
        moved += instance.name
        members.getValue(instance.pool).remove(instance)
        members.getOrPut(to) { ArrayList() } += instance.copy(pool = to)
    }

    private fun sizeOf(pool: PoolName): Int = members[pool]?.size ?: 0
}
