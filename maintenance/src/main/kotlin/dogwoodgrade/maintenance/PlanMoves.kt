package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName

/**
 * Sizes that pools shall have and where instances come from.
 *
 * @property wanted number of instances, neither failed nor in a zone out of service, that each pool shall have; a
 * draining instance counts, as it returns. Pools that are missing keep what they have.
 * @property spare the pool that gives and takes instances
 * @property toleratedLoss missing instances that a pool bears before it gets one; more of it means fewer moves
 * @property movedInWave instances that were moved in this wave already; they are not moved again
 */
public data class MoveOptions(
    public val wanted: Map<PoolName, Int>,
    public val spare: PoolName,
    public val toleratedLoss: Int = 0,
    public val movedInWave: Set<InstanceName> = emptySet(),
)

/**
 * Proposes the fewest moves that restore the wanted pool sizes.
 *
 * A pool that is short gets the surplus of other pools first, which saves the move by way of the spare pool, and then
 * spare instances. What is left of a surplus goes back to the spare pool. The pools that are short by the largest part
 * of their size are served first. Of the instances that can be given, the receiver gets one in the zone, and then in
 * the rack, where it has the fewest instances.
 */
public fun planMoves(state: ConfigurationState, options: MoveOptions): List<MoveInstance> {
    val moves = MoveBuilder(state, options)
    val receivers =
        options.wanted.keys
            .filter { it in state.pools && it != options.spare && moves.missing(it) > options.toleratedLoss }
            .sortedWith(compareBy({ -moves.missing(it).toDouble() / options.wanted.getValue(it) }, { it }))
    // One instance at a time in turn, so that a shortage of spares is shared.
    var progress = true
    while (progress) {
        progress = false
        for (pool in receivers) {
            if (moves.missing(pool) > 0 && moves.give(pool)) progress = true
        }
    }
    for (pool in options.wanted.keys
        .filter { it != options.spare }
        .sorted()) {
        var surplus = moves.missing(pool) < 0
        while (surplus) surplus = moves.takeBack(pool) && moves.missing(pool) < 0
    }
    return moves.result
}

/** Collects moves and follows their effect. Used within one call only. */
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

    fun missing(pool: PoolName): Int = (options.wanted[pool] ?: sizeOf(pool)) - sizeOf(pool)

    /** Moves the best instance into [pool]; returns `false` if there is none to give. */
    fun give(pool: PoolName): Boolean {
        val surplus = options.wanted.keys.filter { it != options.spare && missing(it) < 0 }
        val candidates =
            surplus.flatMap { members[it].orEmpty().filter(movable) }.ifEmpty {
                members[options.spare].orEmpty().filter(movable)
            }
        val best = candidates.minWithOrNull(spreadOrder(pool).thenBy { it.name }) ?: return false
        move(best, pool)
        return true
    }

    /** Moves the instance that [pool] has most of in its zone and rack to the spare pool. */
    fun takeBack(pool: PoolName): Boolean {
        val candidates = members[pool].orEmpty().filter(movable)
        val best = candidates.minWithOrNull(spreadOrder(pool).reversed().thenBy { it.name }) ?: return false
        move(best, options.spare)
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
