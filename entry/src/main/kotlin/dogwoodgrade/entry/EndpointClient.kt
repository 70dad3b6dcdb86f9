package dogwoodgrade.entry

import dogwoodgrade.model.Execution
import dogwoodgrade.model.ResultCode
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.Reservation
import io.netty.channel.ConnectTimeoutException
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Time limit for establishing a connection to an endpoint. */
private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L

private const val STATUS_UNAVAILABLE = 503

/** Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1). */
private val HOP_BY_HOP_HEADERS =
    setOf("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade")

/** Returns whether the header [name] is forwarded. */
internal fun isForwarded(name: String): Boolean = name.lowercase() !in HOP_BY_HOP_HEADERS

/** How an attempt ended. [headForwarded] is `true` if the caller has received a part of the response. */
internal data class AttemptEnd(val result: AttemptResult, val headForwarded: Boolean)

/** Number of an attempt. Connections are reused only for endpoints that repeat it in their responses. */
private const val ATTEMPT_HEADER = "Dogwoodgrade-Attempt"

private const val STATUS_NO_CONTENT = 204
private const val STATUS_NOT_MODIFIED = 304

/** Returns an HTTP client for endpoints; without [keepAlive] each connection carries one request. */
internal fun endpointHttpClient(vertx: Vertx, keepAlive: Boolean, maximumConnections: Int): HttpClient =
    vertx
        .httpClientBuilder()
        .with(
            HttpClientOptions()
                .setKeepAlive(keepAlive)
                .setKeepAliveTimeout(ENDPOINT_KEEP_ALIVE_SECONDS)
                .setPipelining(false),
        ).with(PoolOptions().setHttp1MaxSize(maximumConnections))
        .build()

/** Below the usual keep-alive time of servers, so that no request is sent on a connection that is about to close. */
private const val ENDPOINT_KEEP_ALIVE_SECONDS = 5

/**
 * Time without keep-alive for an endpoint after a connection was lost before its response. A request that is written
 * while the endpoint closes the connection has an unknown outcome, so an endpoint that closes connections early costs
 * one such request a minute.
 */
private val KEEP_ALIVE_PAUSE: Duration = 1.minutes

/**
 * Sends requests to endpoints over HTTP/1.1 without pipelining. A connection with an unfinished response is closed and
 * not reused.
 *
 * HTTP/1.1 matches responses to requests by order alone: a response that an endpoint sends twice would be taken for the
 * response to the next request on the connection, which may be another caller's. Therefore a connection is reused only
 * for endpoints that repeat the number of the attempt in their responses, and a response on such a connection without
 * the right number counts as a connection failure. Any other endpoint gets a new connection for each attempt.
 *
 * An attempt continues after its caller has disconnected or its deadline has passed, until the endpoint has responded
 * or the task lease has expired. Its response is then discarded. The permit of the task is thus held for as long as the
 * task may run.
 */
internal class EndpointClient(
    private val vertx: Vertx,
    maximumConnections: Int,
    private val now: () -> Instant,
) {
    private val keepAliveClient = endpointHttpClient(vertx, keepAlive = true, maximumConnections)
    private val singleUseClient = endpointHttpClient(vertx, keepAlive = false, maximumConnections)

    /** The time from which keep-alive is used, by address of an endpoint whose last response had its attempt number. */
    private val keepAliveFrom = ConcurrentHashMap<String, Instant>()

    /**
     * Sends [call] to the endpoint of [reservation] and calls [onEnd] once. [mayStart] is called on the established
     * connection, right before the first byte is sent.
     */
    fun send(call: Call, reservation: Reservation, mayStart: () -> Boolean, onEnd: (AttemptEnd) -> Unit) {
        val attempt = Attempt(call, reservation, onEnd)
        val address = attempt.address
        val options =
            RequestOptions()
                .setMethod(HttpMethod.valueOf(call.request.method))
                .setHost(address.substringBeforeLast(':'))
                .setPort(address.substringAfterLast(':').toInt())
                .setURI(call.request.target)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
        attempt.usesKeepAlive = keepAliveFrom[address]?.let { now() >= it } == true
        open(attempt, options, mayStart)
    }

    /** A keep-alive connection that closes while the pool hands it out has sent nothing, so a new one is tried. */
    private fun open(attempt: Attempt, options: RequestOptions, mayStart: () -> Boolean) {
        val client = if (attempt.usesKeepAlive) keepAliveClient else singleUseClient
        client.request(options).onComplete { opened ->
            when {
                opened.failed() && attempt.usesKeepAlive -> {
                    keepAliveFrom[attempt.address] = now() + KEEP_ALIVE_PAUSE
                    attempt.usesKeepAlive = false
                    open(attempt, options, mayStart)
                }
                opened.failed() -> attempt.end(connectFailure(opened.cause()))
                !mayStart() -> {
                    opened.result().reset()
                    attempt.end(AttemptResult.NotSent)
                }
                else -> transmit(attempt, opened.result())
            }
        }
    }

    private fun connectFailure(cause: Throwable): AttemptResult =
        if (cause is ConnectTimeoutException) AttemptResult.ConnectTimedOut else AttemptResult.ConnectionRefused

    private fun transmit(attempt: Attempt, request: HttpClientRequest) {
        val call = attempt.call
        addHeaders(request, call, attempt.reservation)
        attempt.startTimers(request)
        request.send(Buffer.buffer(call.request.body)).onComplete { answered ->
            if (answered.failed()) {
                if (attempt.usesKeepAlive) keepAliveFrom[attempt.address] = now() + KEEP_ALIVE_PAUSE
                attempt.end(if (attempt.leaseExpired) AttemptResult.TimedOut else AttemptResult.FailedBeforeHead)
            } else {
                receive(attempt, answered.result())
            }
        }
    }

    private fun addHeaders(request: HttpClientRequest, call: Call, reservation: Reservation) {
        call.request.headers.forEach { (name, value) -> request.putHeader(name, value) }
        request.putHeader("X-Request-Id", call.request.identifier.text)
        request.putHeader(ATTEMPT_HEADER, reservation.number.toString())
        call.team?.let { request.putHeader("Dogwoodgrade-Team", it.text) }
        val leaseUntil = Clock.System.now() + (reservation.leaseUntil - now())
        request.putHeader("Dogwoodgrade-Lease-Until", leaseUntil.toEpochMilliseconds().toString())
    }

    /** Returns whether [response] belongs to [attempt] and its end can be distinguished from a lost connection. */
    private fun isAttributable(attempt: Attempt, response: HttpClientResponse): Boolean {
        val number = response.getHeader(ATTEMPT_HEADER)
        if (number == null) keepAliveFrom.remove(attempt.address) else keepAliveFrom.putIfAbsent(attempt.address, now())
        val isOwn = if (number == null) !attempt.usesKeepAlive else number == "${attempt.reservation.number}"
        val identifier = response.getHeader("X-Request-Id")
        val isOther = identifier != null && identifier != attempt.call.request.identifier.text
        return isOwn && !isOther && hasDelimitedBody(attempt, response)
    }

    /** A body that is delimited by the end of the connection cannot be distinguished from a truncated one. */
    private fun hasDelimitedBody(attempt: Attempt, response: HttpClientResponse): Boolean =
        response.getHeader("Content-Length") != null ||
            response.getHeader("Transfer-Encoding")?.endsWith("chunked", ignoreCase = true) == true ||
            attempt.call.request.method == "HEAD" ||
            response.statusCode() == STATUS_NO_CONTENT ||
            response.statusCode() == STATUS_NOT_MODIFIED

    private fun receive(attempt: Attempt, response: HttpClientResponse) {
        if (!isAttributable(attempt, response)) {
            response.request().connection().close()
            attempt.end(AttemptResult.FailedBeforeHead)
            return
        }
        if (response.getHeader("Dogwoodgrade-Executed") == "no") {
            val busy = response.statusCode() == STATUS_UNAVAILABLE
            response.exceptionHandler { attempt.end(AttemptResult.NotRun) }
            response.endHandler { attempt.end(if (busy) AttemptResult.Busy else AttemptResult.NotRun) }
            response.resume()
            return
        }
        val headers = response
            .headers()
            .entries()
            .map { it.key to it.value }
            .filter { isForwarded(it.first) && !it.first.equals(ATTEMPT_HEADER, ignoreCase = true) }
        val sink = attempt.call.reply.begin(ResponseHead(response.statusCode(), headers))
        attempt.headForwarded = sink != null
        response.handler { part ->
            if (sink != null) {
                sink.write(part)
                if (sink.isFull()) {
                    response.pause()
                    sink.whenWritable { response.resume() }
                }
            }
        }
        response.exceptionHandler {
            sink?.abort()
            attempt.end(if (attempt.leaseExpired) AttemptResult.TimedOut else AttemptResult.Truncated)
        }
        response.endHandler {
            sink?.end()
            attempt.end(AttemptResult.Complete(response.statusCode()))
        }
        response.resume()
    }

    private inner class Attempt(
        val call: Call,
        val reservation: Reservation,
        private val onEnd: (AttemptEnd) -> Unit,
    ) {
        val address: String get() = reservation.endpoint.address
        private val isEnded = AtomicBoolean()
        private var timers = emptyList<Long>()

        @Volatile
        var usesKeepAlive = false

        @Volatile
        var headForwarded = false

        @Volatile
        var leaseExpired = false

        fun startTimers(request: HttpClientRequest) {
            val time = now()
            timers =
                listOf(
                    timer(call.deadline - time) { reportDeadline() },
                    timer(reservation.leaseUntil - time) {
                        leaseExpired = true
                        reportDeadline()
                        request.reset()
                        end(AttemptResult.TimedOut)
                    },
                )
        }

        fun end(result: AttemptResult) {
            if (!isEnded.compareAndSet(false, true)) return
            timers.forEach { vertx.cancelTimer(it) }
            onEnd(AttemptEnd(result, headForwarded))
        }

        private fun reportDeadline() {
            call.reply.refuse(
                CallerRefusal(ResultCode.OutcomeUnknown, "no response before the deadline", Execution.Unknown),
            )
        }

        private fun timer(delay: Duration, action: () -> Unit): Long =
            vertx.setTimer(delay.inWholeMilliseconds.coerceAtLeast(1)) { action() }
    }
}
