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

/** Port to the operator addresses of entries: the JSON answer to a GET of `path`, or `null` without an answer. */
internal typealias EntryQuery = suspend (address: String, path: String) -> JsonObject?

/** Longest time to wait for entries to confirm a change; the bound of G12. */
internal val ConfirmationTimeout: Duration = 3.seconds

private val AnswerTimeout: Duration = 1.seconds
private val PollPause: Duration = 50.milliseconds

/** Returns the query over HTTP through [client]. */
internal fun httpEntryQuery(client: WebClient): EntryQuery =
    { address, path ->
        try {
            val answer =
                client
                    .get(address.substringAfterLast(':').toInt(), address.substringBeforeLast(':'), path)
                    .timeout(AnswerTimeout.inWholeMilliseconds)
                    .send()
                    .coAwait()
            Json.parseToJsonElement(answer.bodyAsString().orEmpty()).jsonObject
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            null
        }
    }

/** Asks all [entries] at once. An answer of another incarnation on the same address does not count. */
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
                    entry.identity to answer?.takeIf { textIn(it, "entry") == entry.identity.toString() }
                }
            }.awaitAll()
            .toMap()
    }

/** Returns the entries that have not folded the record at [offset], given their answers to `/state`. */
internal fun unconfirmed(answers: Map<EntryIdentity, JsonObject?>, offset: Offset): List<EntryIdentity> =
    answers.filterValues { (it?.let { answer -> longIn(answer, "offset") } ?: 0) <= offset.value }.keys.sorted()

/** Asks [entries] until all have folded the record at [offset] or the time is over; returns those that have not. */
internal suspend fun awaitConfirmation(
    entries: Collection<JoinedEntry>,
    offset: Offset,
    query: EntryQuery,
    timeout: Duration = ConfirmationTimeout,
): List<EntryIdentity> {
    var missing = entries.toList()
    withTimeoutOrNull(timeout) {
        while (missing.isNotEmpty()) {
            val left = unconfirmed(queryAll(missing, "/state", query), offset).toSet()
            missing = missing.filter { it.identity in left }
            if (missing.isNotEmpty()) delay(PollPause)
        }
    }
    return missing.map { it.identity }.sorted()
}

/** Returns the text of [field], or `null`. */
internal fun textIn(answer: JsonObject, field: String): String? = answer[field]?.jsonPrimitive?.content

/** Returns the number in [field], or `null`. */
internal fun longIn(answer: JsonObject, field: String): Long? = answer[field]?.jsonPrimitive?.longOrNull
