package dogwoodgrade.operator

import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a GET of `path` to the operator address of an entry; returns the JSON answer, or `null` if there is none. */
internal typealias EntryQuery = suspend (address: String, path: String) -> JsonObject?

/** Longest time to wait for entries to confirm a change; a reachable entry applies a change within 3 s. */
internal val CONFIRMATION_TIMEOUT: Duration = 3.seconds

private val ANSWER_TIMEOUT: Duration = 1.seconds
private val POLL_INTERVAL: Duration = 50.milliseconds

/** Returns an [EntryQuery] that uses [client]. */
internal fun httpEntryQuery(client: WebClient): EntryQuery =
    { address, path ->
        try {
            val answer =
                client
                    .get(address.substringAfterLast(':').toInt(), address.substringBeforeLast(':'), path)
                    .timeout(ANSWER_TIMEOUT.inWholeMilliseconds)
                    .send()
                    .coAwait()
            Json.parseToJsonElement(answer.bodyAsString().orEmpty()).jsonObject
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            null
        }
    }

/** Queries all [entries] concurrently. An answer from another incarnation at the same address is discarded. */
internal suspend fun queryAll(
    entries: Collection<JoinedEntry>,
    path: String,
    query: EntryQuery,
): Map<EntryIdentity, JsonObject?> =
    coroutineScope {
        entries
            .map { entry ->
                async {
                    val answer = query(entry.operatorAddress, path)
                    entry.identity to answer?.takeIf { textField(it, "entry") == entry.identity.toString() }
                }
            }.awaitAll()
            .toMap()
    }

/** Returns the entries that have not folded the record at [offset], given their answers to `/state`. */
internal fun unconfirmed(answers: Map<EntryIdentity, JsonObject?>, offset: Offset): List<EntryIdentity> =
    answers.filterValues { (it?.let { answer -> longField(answer, "offset") } ?: 0) <= offset.value }.keys.sorted()

/** Polls [entries] until all have folded the record at [offset] or [timeout] expires; returns those that have not. */
internal suspend fun awaitConfirmation(
    entries: Collection<JoinedEntry>,
    offset: Offset,
    query: EntryQuery,
    timeout: Duration = CONFIRMATION_TIMEOUT,
): List<EntryIdentity> {
    var missing = entries.toList()
    withTimeoutOrNull(timeout) {
        while (missing.isNotEmpty()) {
            val unconfirmedEntries = unconfirmed(queryAll(missing, "/state", query), offset).toSet()
            missing = missing.filter { it.identity in unconfirmedEntries }
            if (missing.isNotEmpty()) delay(POLL_INTERVAL)
        }
    }
    return missing.map { it.identity }.sorted()
}

/** Returns the value of [field] as text, or `null` if the field is missing. */
internal fun textField(answer: JsonObject, field: String): String? = answer[field]?.jsonPrimitive?.content

/** Returns the value of [field] as a number, or `null` if the field is missing or not a number. */
internal fun longField(answer: JsonObject, field: String): Long? = answer[field]?.jsonPrimitive?.longOrNull
