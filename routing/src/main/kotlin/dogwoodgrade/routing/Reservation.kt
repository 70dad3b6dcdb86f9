package dogwoodgrade.routing

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import kotlin.time.Instant

/**
 * Request for a slot on an endpoint of [pool].
 *
 * @property urgentReserve number of slots of the pool that normal work leaves free for urgent work
 * @property leaseUntil end of the task lease; a request whose outcome is unknown may run until then
 * @property tried instances on which the request was attempted before
 * @property fingerprint identifies the work, for the detection of poison requests; `null` disables the detection
 */
public data class ReservationRequest(
    public val pool: PoolName,
    public val ownZone: AvailabilityZone,
    public val requestClass: RequestClass,
    public val urgentReserve: Int,
    public val leaseUntil: Instant,
    public val tried: Set<InstanceName> = emptySet(),
    public val fingerprint: RequestFingerprint? = null,
)

/** A slot on [endpoint] that this entry holds until [EndpointTable.finish]. */
public data class Reservation(
    public val number: Long,
    public val endpoint: Endpoint,
    public val startedAt: Instant,
    public val leaseUntil: Instant,
    public val fingerprint: RequestFingerprint? = null,
)

/** Result of [EndpointTable.reserve]. */
public sealed interface ReservationResult {
    /** A slot is reserved. */
    public data class Reserved(public val reservation: Reservation) : ReservationResult

    /** No slot is reserved. */
    public data class Unavailable(public val reason: UnavailableReason) : ReservationResult
}

/** Why no endpoint could be reserved. */
public enum class UnavailableReason {
    /** No endpoint of the pool may receive work. */
    NoneEligible,

    /** Every eligible endpoint was tried before. */
    AllTried,

    /** Eligible endpoints exist, but each is full; a slot may become free soon. */
    AllFull,

    /** The free slots belong to the urgent reserve. */
    ReservedForUrgent,

    /** The request failed by its own fault on several endpoints that serve other requests well. */
    PoisonRequest,
}

/** Free slots of a pool as known to this entry; peers may take them first. */
public data class FreeCapacity(public val normal: Int, public val urgent: Int)

/**
 * Work of this entry that prevents an instance from being stopped.
 *
 * @property inFlight number of requests whose attempt has not ended
 * @property mayRunUntil end of the last task lease of a request with an unknown outcome, or `null` if none can run
 */
public data class DrainState(public val inFlight: Int, public val mayRunUntil: Instant?) {
    /** Whether no request of this entry can run on the instance any more. */
    public val isDrained: Boolean get() = inFlight == 0 && mayRunUntil == null
}

/** State of one endpoint for operators and metrics. */
public data class EndpointStatus(
    public val endpoint: Endpoint,
    public val inFlight: Int,
    public val condition: EndpointCondition,
)

/** Whether an endpoint receives work, and if not, why. */
public enum class EndpointCondition { Serving, Full, Probation, Ejected, Removed, Leaving, ZoneOut }
