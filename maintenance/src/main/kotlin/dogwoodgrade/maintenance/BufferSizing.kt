package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.PoolName

/** Kind of failure domain whose loss a buffer has to cover. */
public enum class FailureDomain { Rack, Zone }

/**
 * Requirements that a buffer is sized for.
 *
 * @property pools pools that have to keep their size
 * @property domain kind of the single failure domain that may be lost
 * @property toleratedLoss number of missing instances that each pool tolerates without a spare, for example its
 * availability budget when no planned work is under way
 */
public data class BufferDemand(
    public val pools: Set<PoolName>,
    public val domain: FailureDomain,
    public val toleratedLoss: (PoolName) -> Int = { 0 },
)

/**
 * Spare instances that replace lost ones.
 *
 * @property instances number of spare instances
 * @property largestLoss largest number of instances of the pools in one domain
 * @property survives whether the spares left after the loss of any one domain replace what was lost there
 */
public data class Buffer(
    public val instances: Int,
    public val largestLoss: Int,
    public val survives: Boolean,
)

/** Sizes the buffer for a demand. */
public typealias BufferSizing = (state: ConfigurationState, demand: BufferDemand) -> Buffer

/**
 * Returns the fewest spares that survive the loss of any one failure domain.
 *
 * Spares in the failed domain are lost too, so `total - spares in the domain >= need of the domain` must hold for each
 * one. Such a placement exists if and only if the sum over the domains of `max(0, total - need)` is at least `total`.
 * If there is a single domain, no buffer survives its loss.
 */
public fun sizeBuffer(state: ConfigurationState, demand: BufferDemand): Buffer {
    val losses = losses(state, demand)
    val needs = losses.mapValues { (_, members) -> requiredSpares(members, demand) }.values
    val domains = state.instances.values.mapTo(HashSet()) { it.domain(demand.domain) }
    val largest = losses.values.maxOfOrNull(List<Instance>::size) ?: 0
    val withoutNeed = domains.size - needs.size
    var total = needs.maxOrNull() ?: 0
    if (total > 0 && domains.size < 2) return Buffer(total, largest, survives = false)
    while (needs.sumOf { total - it } + withoutNeed * total < total) total++
    return Buffer(total, largest, survives = true)
}

/** Returns the baseline of [sizeBuffer]: the usable instances of the pool [sparePool], and whether they are enough. */
public fun fixedBuffer(sparePool: PoolName): BufferSizing =
    { state, demand ->
        val losses = losses(state, demand)
        val spares = state.instancesOf(sparePool).filter(state::isUsable)
        val inDomain = spares.groupingBy { it.domain(demand.domain) }.eachCount()
        val survives =
            losses.all { (domain, members) -> spares.size - (inDomain[domain] ?: 0) >= requiredSpares(members, demand) }
        Buffer(spares.size, losses.values.maxOfOrNull(List<Instance>::size) ?: 0, survives)
    }

private fun losses(state: ConfigurationState, demand: BufferDemand): Map<String, List<Instance>> =
    state.instances.values
        .filter { it.pool in demand.pools }
        .groupBy { it.domain(demand.domain) }

private fun requiredSpares(members: List<Instance>, demand: BufferDemand): Int =
    members
        .groupingBy(Instance::pool)
        .eachCount()
        .entries
        .sumOf { (pool, lost) -> (lost - demand.toleratedLoss(pool)).coerceAtLeast(0) }

private fun Instance.domain(domain: FailureDomain): String =
    when (domain) {
        FailureDomain.Rack -> "$zone/$rack"
        FailureDomain.Zone -> zone.text
    }
