package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.PoolName

/** The kind of failure domain that a buffer shall survive. */
public enum class FailureDomain { Rack, Zone }

/**
 * What a buffer is sized for.
 *
 * @property pools the pools that shall keep their size
 * @property domain one rack or one zone may fail
 * @property tolerated missing instances that a pool bears without a spare, for example its availability budget when no
 * planned work is under way
 */
public data class BufferDemand(
    public val pools: Set<PoolName>,
    public val domain: FailureDomain,
    public val tolerated: (PoolName) -> Int = { 0 },
)

/**
 * A buffer.
 *
 * @property instances number of spare instances
 * @property largestLoss instances of the pools in the domain that loses the most
 * @property survives whether the spares left after the loss of any one domain replace what was lost there
 */
public data class Buffer(
    public val instances: Int,
    public val largestLoss: Int,
    public val survives: Boolean,
)

/** Sizes the buffer of a set of pools. */
public typealias BufferSizing = (state: ConfigurationState, demand: BufferDemand) -> Buffer

/**
 * Returns the fewest spares that survive the loss of any one failure domain.
 *
 * Spares in the failed domain are lost too, so `total - spares in the domain >= need of the domain` must hold for each
 * one. Such a placement exists if and only if the sum over the domains of `max(0, total - need)` is at least `total`.
 * With a single domain nothing survives its loss.
 */
public fun sizeBuffer(state: ConfigurationState, demand: BufferDemand): Buffer {
    val losses = losses(state, demand)
    val needs = losses.mapValues { (_, members) -> need(members, demand) }.values
    val domains = state.instances.values.mapTo(HashSet()) { it.domain(demand.domain) }
    val largest = losses.values.maxOfOrNull(List<Instance>::size) ?: 0
    val withoutNeed = domains.size - needs.size
    var total = needs.maxOrNull() ?: 0
    if (total > 0 && domains.size < 2) return Buffer(total, largest, survives = false)
    while (needs.sumOf { total - it } + withoutNeed * total < total) total++
    return Buffer(total, largest, survives = true)
}

/** Returns the baseline of [sizeBuffer]: the usable instances of the pool [spare], and whether they are enough. */
public fun fixedBuffer(spare: PoolName): BufferSizing =
    { state, demand ->
        val losses = losses(state, demand)
        val spares = state.instancesOf(spare).filter(state::isUsable)
        val inDomain = spares.groupingBy { it.domain(demand.domain) }.eachCount()
        val survives =
            losses.all { (domain, members) -> spares.size - (inDomain[domain] ?: 0) >= need(members, demand) }
        Buffer(spares.size, losses.values.maxOfOrNull(List<Instance>::size) ?: 0, survives)
    }

private fun losses(state: ConfigurationState, demand: BufferDemand): Map<String, List<Instance>> =
    state.instances.values
        .filter { it.pool in demand.pools }
        .groupBy { it.domain(demand.domain) }

private fun need(members: List<Instance>, demand: BufferDemand): Int =
    members
        .groupingBy(Instance::pool)
        .eachCount()
        .entries
        .sumOf { (pool, lost) -> (lost - demand.tolerated(pool)).coerceAtLeast(0) }

private fun Instance.domain(domain: FailureDomain): String =
    when (domain) {
        FailureDomain.Rack -> "$zone/$rack"
        FailureDomain.Zone -> zone.text
    }
