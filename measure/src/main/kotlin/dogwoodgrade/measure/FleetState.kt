package dogwoodgrade.measure

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.configuration.apply
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlin.time.Duration.Companion.seconds

/** Size of a fleet; [spares] instances are in the pool `spare`, and [budget] is the budget of each pool. */
internal data class FleetSize(
    val label: String,
    val instances: Int,
    val pools: Int,
    val zones: Int,
    val budget: Int,
    val spares: Int,
)

internal val Today = FleetSize("today", instances = 35, pools = 5, zones = 3, budget = 1, spares = 6)
internal val Large = FleetSize("8,000 instances", instances = 7_962, pools = 208, zones = 9, budget = 4, spares = 38)
internal val SparePool = PoolName("spare")
private const val RACK = 4

/**
 * Returns a fleet with four instances to a rack; neighbours in a rack are in different pools. The spare instances are
 * in racks of their own, in rotation over the zones.
 */
internal fun fleetOf(size: FleetSize): ConfigurationState {
    val pools = List(size.pools) { PoolName("pool-$it") }
    val members = List(size.instances) { instance(it, pools[it % size.pools], size) }
    val racks = (size.instances + RACK - 1) / RACK
    val spares = List(size.spares) { instance((racks + it) * RACK, SparePool, size) }
    val empty = ConfigurationState.Empty.accept((pools + SparePool).map { setPool(it, size.budget) })
    return empty.copy(instances = (members + spares).associateBy(Instance::name))
}

private fun setPool(name: PoolName, budget: Int): SetPool =
    SetPool(name, ServiceName(name.text), SLOTS, 64, 30.seconds, budget, 1, false, Version.None)

private fun instance(number: Int, pool: PoolName, size: FleetSize): Instance {
    val rack = number / RACK
    return Instance(
        InstanceName("instance-$number"),
        "127.0.0.1:9000",
        AvailabilityZone("zone-${rack % size.zones}"),
        RackName("rack-$rack"),
        WorkerName("worker-$number"),
        pool,
    )
}

/** Applies [changes], each of which must be valid: a refused change means that a planner proposed an invalid one. */
internal fun ConfigurationState.accept(changes: List<ConfigurationChange>): ConfigurationState =
    changes.fold(this) { state, change ->
        when (val outcome = state.apply(change)) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> error("$change was refused: $outcome")
        }
    }
