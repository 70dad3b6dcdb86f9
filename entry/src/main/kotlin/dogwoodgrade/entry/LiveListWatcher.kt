package dogwoodgrade.entry

import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.InstanceName
import dogwoodgrade.routing.LiveObservation
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

private const val READ_TIMEOUT_MILLISECONDS = 2_000L
private const val STATUS_OK = 200

/** Polls the platform's live list and passes it on. While it cannot be read, the last reading stays in effect. */
internal class LiveListWatcher(
    private val client: WebClient,
    private val address: PeerAddress,
    private val now: () -> Instant,
    private val observe: suspend (LiveObservation, Instant) -> Unit,
) {
    private var reachable = true

    /** Polls the list until the coroutine is cancelled. */
    suspend fun watch() {
        while (true) {
            val observation = readOnce()
            if ((observation != null) != reachable) {
                reachable = observation != null
                logger.info { "live-list: the list is ${if (reachable) "reachable" else "unreachable"}" }
            }
            observation?.let { observe(it, now()) }
            delay(READ_INTERVAL)
        }
    }

    private suspend fun readOnce(): LiveObservation? =
        try {
            val response =
                client
                    .get(address.port, address.host, "/instances")
                    .timeout(READ_TIMEOUT_MILLISECONDS)
                    .send()
                    .coAwait()
            if (response.statusCode() == STATUS_OK) parseLiveList(response.bodyAsString().orEmpty()) else null
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Exception) {
            logger.debug { "live-list: reading failed: ${failure.message}" }
            null
        }

    private companion object {
        /** Below half of the 2 s after which a leaving endpoint must get no new work, so one reading may be lost. */
        val READ_INTERVAL = 700.milliseconds
    }
}

/** Parses the live list; elements that cannot be parsed are skipped. */
internal fun parseLiveList(text: String): LiveObservation {
    val states =
        JsonObject(text).getJsonArray("instances").mapNotNull { element ->
            val instance = element as? JsonObject ?: return@mapNotNull null
            InstanceName.parseOrNull(instance.getString("name") ?: "")?.let { it to instance.getString("state") }
        }
    return LiveObservation(
        live = states.filter { it.second == "live" }.map { it.first }.toSet(),
        leaving = states.filter { it.second == "leaving" }.map { it.first }.toSet(),
    )
}
