package dogwoodgrade.routing

import kotlin.time.Instant

/** Failures per start, among the other requests of an endpoint, above which it does not serve them well: a quarter. */
private const val WELL_SERVED_PER_FAILURE = 4

/** Other requests in the window below which nothing is known about how an endpoint serves them. */
private const val MIN_OTHER_STARTS = 3

/** What the table knows about one instance; an immutable value. */
internal data class EndpointRecord(
    /** `null` when the configuration no longer allows the instance; requests may still be in flight on it. */
    val endpoint: Endpoint?,
    val inFlight: Int = 0,
    /** Number of the only reservation that an endpoint on probation may hold. */
    val probe: Long? = null,
    /** End of the last task lease of a request with an unknown outcome. */
    val orphanedUntil: Instant = Instant.DISTANT_PAST,
    val health: EndpointHealth = EndpointHealth(),
) {
    fun isIdle(now: Instant): Boolean = inFlight == 0 && now >= orphanedUntil

    /** Adopts the configuration; a health that belongs to another address or pool is forgotten. */
    fun configured(next: Endpoint?): EndpointRecord {
        val same = next != null && endpoint?.pool == next.pool && endpoint.address == next.address
        return if (same) copy(endpoint = next) else copy(endpoint = next, probe = null, health = EndpointHealth())
    }

    /** Tells whether the endpoint serves requests other than one that failed here [ownFailures] times. */
    fun servesOthersWell(ownFailures: Int, now: Instant): Boolean {
        val counts = health.window.countsAt(now)
        val starts = counts.starts - ownFailures
        val failures = counts.failures + counts.requestFaults - ownFailures
        return !health.isOnProbation && starts >= MIN_OTHER_STARTS && failures * WELL_SERVED_PER_FAILURE <= starts
    }
}
