package dogwoodgrade.routing

import dogwoodgrade.model.InstanceName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Identifies requests for the same work, for example by a hash of team, method, path and body. */
@JvmInline
public value class RequestFingerprint(public val text: String)

/** Number of endpoints on which a request has to fail to count as poisonous. */
internal const val POISON_ENDPOINTS = 3

/** Largest number of suspected requests kept; the one whose last failure is oldest is dropped first. */
internal const val MAX_SUSPECTS = 1_024

/** Time since its last failure after which a suspect is dropped, because the fault may have been corrected. */
internal val SUSPECT_TIME = 60.seconds

/** A failure of a suspected request on [instance] at [time]. */
internal data class SuspectFailure(val instance: InstanceName, val time: Instant)

/**
 * Requests that failed on endpoints that serve other requests well. Not thread-safe; guarded by the lock of
 * [EndpointTable].
 *
 * A failure counts against its endpoint until the request has failed on [POISON_ENDPOINTS] such endpoints. If it
 * counted against the request from the first failure on, an endpoint that fails all requests would never be ejected.
 */
internal class PoisonRequests {
    private val suspects = LinkedHashMap<RequestFingerprint, List<SuspectFailure>>()

    fun isPoisonous(fingerprint: RequestFingerprint, now: Instant): Boolean =
        recentOf(fingerprint, now).size >= POISON_ENDPOINTS

    /** Returns how often the request failed on [instance]; these failures say nothing about other requests. */
    fun failuresOn(instance: InstanceName, fingerprint: RequestFingerprint, now: Instant): Int =
        recentOf(fingerprint, now).count { it.instance == instance && now - it.time < WINDOW_SECONDS.seconds }

    /** Records a failure. If it makes the request poisonous, returns the failures to withdraw from the endpoints. */
    fun recordFailure(fingerprint: RequestFingerprint, failure: SuspectFailure): List<SuspectFailure> {
        val recent = recentOf(fingerprint, failure.time)
        if (recent.any { it.instance == failure.instance }) return emptyList()
        suspects.remove(fingerprint)
        suspects[fingerprint] = recent + failure
        if (suspects.size > MAX_SUSPECTS) suspects.remove(suspects.keys.first())
        return if (recent.size + 1 == POISON_ENDPOINTS) recent + failure else emptyList()
    }

    fun recordSuccess(fingerprint: RequestFingerprint) {
        suspects.remove(fingerprint)
    }

    private fun recentOf(fingerprint: RequestFingerprint, now: Instant): List<SuspectFailure> {
        val failures = suspects[fingerprint].orEmpty()
        return if (failures.isNotEmpty() && now - failures.last().time < SUSPECT_TIME) failures else emptyList()
    }
}
