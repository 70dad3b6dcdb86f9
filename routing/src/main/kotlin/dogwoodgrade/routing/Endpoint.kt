package dogwoodgrade.routing

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import kotlin.time.Instant

/**
 * An endpoint that the configuration allows to receive work: its instance is in [pool] and not draining.
 *
 * @property address host and port, as the HTTP client takes them
 * @property slots number of requests that the endpoint runs at the same time
 * @property connectionPart number of connections that this entry may open to the endpoint; one connection carries one
 * request at a time, so it also bounds the requests in flight
 * @throws IllegalArgumentException if [slots] or [connectionPart] is not positive
 */
public data class Endpoint(
    public val instance: InstanceName,
    public val pool: PoolName,
    public val zone: AvailabilityZone,
    public val rack: RackName,
    public val address: String,
    public val slots: Int,
    public val connectionPart: Int,
) {
    init {
        require(slots > 0) { "endpoint $instance has $slots slots" }
        require(connectionPart > 0) { "endpoint $instance has a connection part of $connectionPart" }
    }
}

/**
 * What the folded configuration says about endpoints; replaced as a whole with every change.
 *
 * @property zonesOut availability zones out of service; nothing starts there
 * @property zonesReturned the moment at which each zone came back into service, the start of its slow start
 */
public data class EndpointConfiguration(
    public val endpoints: List<Endpoint> = emptyList(),
    public val zonesOut: Set<AvailabilityZone> = emptySet(),
    public val zonesReturned: Map<AvailabilityZone, Instant> = emptyMap(),
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
