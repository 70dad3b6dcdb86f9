package dogwoodgrade.logclient

import dogwoodgrade.logclient.AppendResult.Appended
import dogwoodgrade.logclient.AppendResult.Refused
import dogwoodgrade.logclient.AppendResult.Unknown
import dogwoodgrade.logclient.ReadResult.Dropped
import dogwoodgrade.logclient.ReadResult.Records
import dogwoodgrade.logclient.ReadResult.Unreachable
import dogwoodgrade.model.Offset
import dogwoodgrade.model.ResultCode
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeout of a request; the time that a read may wait for records is added. */
private val RESPONSE_TIMEOUT: Duration = 2.seconds

private const val STATUS_OK = 200
private const val STATUS_GONE = 410
private const val STATUS_TOO_MANY_REQUESTS = 429
private const val STATUS_UNAVAILABLE = 503

/** Returns a client for the published HTTP protocol of the log service at [host] and [port]; requests use [client]. */
public fun httpLogService(client: WebClient, host: String, port: Int): LogService =
    LogService(
        append = { stream, record -> append(client, host, port, stream, record) },
        read = { stream, from, limit, wait -> read(client, host, port, stream, from, limit, wait) },
    )

private suspend fun append(
    client: WebClient,
    host: String,
    port: Int,
    stream: StreamName,
    record: ByteArray,
): AppendResult =
    try {
        val response =
            client
                .post(port, host, "/streams/${stream.text}/records")
                .timeout(RESPONSE_TIMEOUT.inWholeMilliseconds)
                .sendBuffer(Buffer.buffer(record))
                .coAwait()
        appendResultOf(response)
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (failure: Exception) {
        if (isConnectFailure(failure)) {
            Refused(ResultCode.LogUnreachable, "log service $host:$port cannot be reached: ${failure.message}")
        } else {
            Unknown(ResultCode.LogAnswerLost, "log service $host:$port did not answer: ${failure.message}")
        }
    }

private fun appendResultOf(response: HttpResponse<Buffer>): AppendResult =
    when (response.statusCode()) {
        STATUS_OK -> Appended(Offset(parse(response).getValue("offset").jsonPrimitive.long))
        STATUS_TOO_MANY_REQUESTS -> Refused(ResultCode.LogRateLimited, "the log service limits its append rate")
        STATUS_UNAVAILABLE -> Refused(ResultCode.LogUnreachable, "the log service is unavailable")
        else -> Unknown(ResultCode.LogAnswerLost, "the log service answered with status ${response.statusCode()}")
    }

private suspend fun read(
    client: WebClient,
    host: String,
    port: Int,
    stream: StreamName,
    from: Offset,
    limit: Int,
    wait: Duration,
): ReadResult =
    try {
        val response =
            client
                .get(port, host, "/streams/${stream.text}/records")
                .addQueryParam("from", from.toString())
                .addQueryParam("limit", limit.toString())
                .addQueryParam("wait", wait.inWholeMilliseconds.toString())
                .timeout((RESPONSE_TIMEOUT + wait).inWholeMilliseconds)
                .send()
                .coAwait()
        readResultOf(response)
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (failure: Exception) {
        Unreachable(ResultCode.LogUnreachable, "log service $host:$port cannot be read: ${failure.message}")
    }

private fun readResultOf(response: HttpResponse<Buffer>): ReadResult =
    when (response.statusCode()) {
        STATUS_OK -> {
            val body = parse(response)
            Records(
                body.getValue("records").jsonArray.map { element -> storedRecordOf(element.jsonObject) },
                Offset(body.getValue("next").jsonPrimitive.long),
            )
        }
        STATUS_GONE -> Dropped(Offset(parse(response).getValue("first").jsonPrimitive.long))
        else ->
            Unreachable(ResultCode.LogUnreachable, "the log service answered with status ${response.statusCode()}")
    }

private fun storedRecordOf(element: JsonObject): StoredRecord =
    StoredRecord(
        Offset(element.getValue("offset").jsonPrimitive.long),
        Base64.getDecoder().decode(element.getValue("data").jsonPrimitive.content),
    )

private fun parse(response: HttpResponse<Buffer>): JsonObject =
    Json.parseToJsonElement(response.bodyAsString().orEmpty()).jsonObject

/**
 * Tells whether connecting failed, which proves that nothing was sent. Netty's connect timeout is a [ConnectException]
 * too.
 */
private fun isConnectFailure(failure: Throwable): Boolean =
    failure is ConnectException || failure is NoRouteToHostException
