package dogwoodgrade.routing

import kotlin.time.Instant

/** Starts per failure of other requests that an endpoint needs to serve them well: at most a quarter may fail. */
private const val MIN_STARTS_PER_FAILURE = 4

/** Other requests in the window below which it is unknown how well an endpoint serves them. */
private const val MIN_OTHER_STARTS = 3

/** State of one instance in the table; immutable. */
internal data class EndpointRecord(
    /** `null` when the configuration no longer allows the instance; requests may still be in flight on it. */
    val endpoint: Endpoint?,
    val inFlight: Int = 0,
    /** Number of the single reservation that an endpoint on probation may have. */
    val probe: Long? = null,
    /** End of the last task lease of a request with an unknown outcome. */
    val orphanedUntil: Instant = Instant.DISTANT_PAST,
    val health: EndpointHealth = EndpointHealth(),
) {
    fun isIdle(now: Instant): Boolean = inFlight == 0 && now >= orphanedUntil

    /** Applies the configuration; resets the health if the address or pool has changed. */
    fun configured(next: Endpoint?): EndpointRecord {
        val same = next != null && endpoint?.pool == next.pool && endpoint.address == next.address
        return if (same) copy(endpoint = next) else copy(endpoint = next, probe = null, health = EndpointHealth())
    }

    /** Returns whether the endpoint serves requests well, except the one that failed here [ownFailures] times. */
    fun servesOthersWell(ownFailures: Int, now: Instant): Boolean {
        val counts = health.window.countsAt(now)
        val starts = counts.starts - ownFailures
        val failures = counts.failures + counts.requestFaults - ownFailures
        return !health.isOnProbation && starts >= MIN_OTHER_STARTS && failures * MIN_STARTS_PER_FAILURE <= starts
    }
}
