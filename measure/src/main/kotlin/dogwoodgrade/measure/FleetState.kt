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

/**
 * Size of a fleet.
 *
 * @property instances number of instances in the [pools] pools, without the spare ones
 * @property budget availability budget of each pool
 * @property spares number of instances in the pool `spare`
 */
internal data class FleetSize(
    val label: String,
    val instances: Int,
    val pools: Int,
    val zones: Int,
    val budget: Int,
    val spares: Int,
)

internal val CURRENT_FLEET_SIZE = FleetSize("today", instances = 35, pools = 5, zones = 3, budget = 1, spares = 6)
internal val LARGE_FLEET_SIZE =
    FleetSize("8,000 instances", instances = 7_962, pools = 208, zones = 9, budget = 4, spares = 38)
internal val SPARE_POOL = PoolName("spare")
private const val INSTANCES_PER_RACK = 4

/**
 * Returns a fleet with four instances per rack. Consecutive instances of a rack are in different pools. Each spare
 * instance is in its own rack; racks are assigned to the zones in rotation.
 */
internal fun fleetOf(size: FleetSize): ConfigurationState {
    val pools = List(size.pools) { PoolName("pool-$it") }
    val members = List(size.instances) { instance(it, pools[it % size.pools], size) }
    val racks = (size.instances + INSTANCES_PER_RACK - 1) / INSTANCES_PER_RACK
    val spares = List(size.spares) { instance((racks + it) * INSTANCES_PER_RACK, SPARE_POOL, size) }
    val empty = ConfigurationState.Empty.applyAll((pools + SPARE_POOL).map { setPool(it, size.budget) })
    return empty.copy(instances = (members + spares).associateBy(Instance::name))
}

private fun setPool(name: PoolName, budget: Int): SetPool =
    SetPool(name, ServiceName(name.text), SLOTS_PER_INSTANCE, 64, 30.seconds, budget, 1, false, Version.None)

private fun instance(number: Int, pool: PoolName, size: FleetSize): Instance {
    val rack = number / INSTANCES_PER_RACK
    return Instance(
        InstanceName("instance-$number"),
        "127.0.0.1:9000",
        AvailabilityZone("zone-${rack % size.zones}"),
        RackName("rack-$rack"),
        WorkerName("worker-$number"),
        pool,
    )
}

/** Applies [changes] in order. Fails if one is refused, since a planner must propose only valid changes. */
internal fun ConfigurationState.applyAll(changes: List<ConfigurationChange>): ConfigurationState =
    changes.fold(this) { state, change ->
        when (val outcome = state.apply(change)) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> error("$change was refused: $outcome")
        }
    }
