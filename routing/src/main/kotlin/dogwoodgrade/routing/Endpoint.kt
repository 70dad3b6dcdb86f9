package dogwoodgrade.routing

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import kotlin.time.Instant

/**
 * An endpoint to which the configuration allows work: its instance is in [pool] and not draining.
 *
 * @property address host and port in the form that the HTTP client expects
 * @property slots number of requests that the endpoint runs at the same time
 * @property maxConnections number of connections that this entry may open to the endpoint; one connection carries one
 * request at a time, so it also bounds the requests in flight
 * @throws IllegalArgumentException if [slots] or [maxConnections] is not positive
 */
public data class Endpoint(
    public val instance: InstanceName,
    public val pool: PoolName,
    public val zone: AvailabilityZone,
    public val rack: RackName,
    public val address: String,
    public val slots: Int,
    public val maxConnections: Int,
) {
    init {
        require(slots > 0) { "endpoint $instance has $slots slots" }
        require(maxConnections > 0) { "endpoint $instance allows $maxConnections connections" }
    }
}

/**
 * The part of the current configuration that concerns endpoints; replaced as a whole with every change.
 *
 * @property zonesOutOfService availability zones out of service; nothing starts there
 * @property zonesReturnedAt time at which each zone came back into service, which begins its slow start
 */
public data class EndpointConfiguration(
    public val endpoints: List<Endpoint> = emptyList(),
    public val zonesOutOfService: Set<AvailabilityZone> = emptySet(),
    public val zonesReturnedAt: Map<AvailabilityZone, Instant> = emptyMap(),
) {
    init {
        require(endpoints.distinctBy(Endpoint::instance).size == endpoints.size) { "an instance is listed twice" }
    }
}

/** One reading of the platform's live list; an instance in neither set is missing from the list. */
public data class LiveObservation(
    public val live: Set<InstanceName>,
    public val leaving: Set<InstanceName>,
)
