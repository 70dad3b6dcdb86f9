package dogwoodgrade.entry

import dogwoodgrade.configuration.Instance
import dogwoodgrade.configuration.Pool
import dogwoodgrade.control.ControlState
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.routing.Endpoint
import dogwoodgrade.routing.EndpointConfiguration
import kotlin.time.Instant

/**
 * Returns what the folded [state] says about endpoints. Draining instances get nothing new. Instances that are recorded
 * as failed stay: the record comes from a lagging list, and the health of the endpoint decides at once.
 *
 * @param returned when each zone came back into service, as seen by this process
 */
internal fun endpointConfigurationOf(
    state: ControlState,
    returned: Map<AvailabilityZone, Instant>,
): EndpointConfiguration {
    val configuration = state.configuration
    val entries = state.entries.size.coerceAtLeast(1)
    val endpoints =
        configuration.instances.values
            .filter { !it.draining }
            .mapNotNull { instance -> configuration.pools[instance.pool]?.let { endpointOf(instance, it, entries) } }
    val out = configuration.zones.values
        .filter { !it.inService }
        .map { it.name }
        .toSet()
    return EndpointConfiguration(endpoints, out, returned)
}

private fun endpointOf(instance: Instance, pool: Pool, entries: Int): Endpoint =
    Endpoint(
        instance.name,
        instance.pool,
        instance.zone,
        instance.rack,
        instance.address,
        pool.slotsPerEndpoint,
        (pool.connectionsPerEndpoint / entries).coerceAtLeast(1),
    )

/** Notes the time at which zones return to service, the start of their slow start. */
internal class ZoneReturns {
    private var out: Set<AvailabilityZone> = emptySet()
    private var returned: Map<AvailabilityZone, Instant> = emptyMap()

    /** Returns when each zone that was out came back, given the zones that are out [now]. */
    @Synchronized
    fun update(outNow: Set<AvailabilityZone>, now: Instant): Map<AvailabilityZone, Instant> {
        val back = (out - outNow).associateWith { now }
        returned = (returned + back).filterKeys { it !in outNow }
        out = outNow
        return returned
    }
}
