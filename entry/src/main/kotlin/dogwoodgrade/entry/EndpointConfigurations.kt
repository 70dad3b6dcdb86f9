package dogwoodgrade.entry

import dogwoodgrade.configuration.Instance
import dogwoodgrade.configuration.Pool
import dogwoodgrade.control.ControlState
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.routing.Endpoint
import dogwoodgrade.routing.EndpointConfiguration
import kotlin.time.Instant

/**
 * Returns the endpoints that the folded [state] configures. Draining instances are left out, so they get no new work.
 * Instances that are recorded as failed are included: the record comes from a list that lags, while the observed health
 * of the endpoint takes effect immediately.
 *
 * @param returnTimes when each zone returned to service, as observed by this process
 */
internal fun endpointConfigurationOf(
    state: ControlState,
    returnTimes: Map<AvailabilityZone, Instant>,
): EndpointConfiguration {
    val configuration = state.configuration
    val entries = state.entries.size.coerceAtLeast(1)
    val endpoints =
        configuration.instances.values
            .filter { !it.draining }
            .mapNotNull { instance -> configuration.pools[instance.pool]?.let { endpointOf(instance, it, entries) } }
    val zonesOutOfService = configuration.zones.values
        .filter { !it.inService }
        .map { it.name }
        .toSet()
    return EndpointConfiguration(endpoints, zonesOutOfService, returnTimes)
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

/** Records when zones return to service, which is when their slow start begins. */
internal class ZoneReturnTimes {
    private var zonesOutOfService: Set<AvailabilityZone> = emptySet()
    private var returnTimes: Map<AvailabilityZone, Instant> = emptyMap()

    /** Updates the zones that are out of service at [now], and returns when each other zone returned to service. */
    @Synchronized
    fun update(zonesOutNow: Set<AvailabilityZone>, now: Instant): Map<AvailabilityZone, Instant> {
        val back = (zonesOutOfService - zonesOutNow).associateWith { now }
        returnTimes = (returnTimes + back).filterKeys { it !in zonesOutNow }
        zonesOutOfService = zonesOutNow
        return returnTimes
    }
}
