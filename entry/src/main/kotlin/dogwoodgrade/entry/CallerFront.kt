package dogwoodgrade.entry

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import kotlin.time.Duration
import kotlin.time.DurationUnit

private const val STATUS_TOO_LARGE = 413

/**
 * What the front needs from the process.
 *
 * @property post posts an arrival to the workers; `false` if they are too far behind
 * @property left tells that a caller has closed its connection
 * @property stopping whether the entry is shutting down
 * @property staleAge age of a stale configuration, `null` while it is fresh
 * @property refused reports a refusal before admission to the metrics
 */
internal data class FrontPorts(
    val post: (EntryEvent.Arrived) -> Boolean,
    val left: (RequestIdentifier) -> Unit,
    val stopping: () -> Boolean,
    val staleAge: () -> Duration?,
    val refused: (ResultCode) -> Unit,
)

/** The HTTP listener for callers: turns HTTP into events and answers into HTTP. It decides nothing. */
internal class CallerFront(private val limits: RequestLimits, private val ports: FrontPorts) {
    /** Returns the routes of the listener; [jobs] adds the routes of the job interface. */
    fun router(vertx: Vertx, jobs: (Router) -> Unit): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(limits.maximumBodyBytes.toLong()))
        router.route().failureHandler(::fail)
        jobs(router)
        router.route().handler(::take)
        return router
    }

    private fun fail(context: RoutingContext) {
        val refusal =
            if (context.statusCode() == STATUS_TOO_LARGE) {
                CallerRefusal(ResultCode.BodyTooLarge, "the body exceeds ${limits.maximumBodyBytes} bytes")
            } else {
                CallerRefusal(ResultCode.MalformedRequest, "the request cannot be read")
            }
        refuseEarly(context, refusal)
    }

    private fun take(context: RoutingContext) {
        if (ports.stopping()) {
            context.response().putHeader("Connection", "close")
            return refuseEarly(context, CallerRefusal(ResultCode.Stopping, "the entry is shutting down"))
        }
        when (val parsed = parseRequest(rawRequestOf(context))) {
            is Outcome.Failure -> refuseEarly(context, CallerRefusal(parsed.code, parsed.message))
            is Outcome.Success -> submit(context, parsed.value)
        }
    }

    private fun submit(context: RoutingContext, request: CallerRequest) {
        val reply = ReplyOnce(replyTo(context.response(), request.identifier.text))
        val event =
            EntryEvent.Arrived(request, reply) { identifier ->
                context.response().closeHandler { ports.left(identifier) }
            }
        if (!ports.post(event)) {
            refuseEarly(context, CallerRefusal(ResultCode.Overloaded, "the entry is overloaded"))
        }
    }

    private fun refuseEarly(context: RoutingContext, refusal: CallerRefusal) {
        ports.refused(refusal.code)
        val identifier = context.request().getHeader("X-Request-Id") ?: ""
        sendRefusal(context.response(), refusal, identifier)
    }

    private fun replyTo(response: HttpServerResponse, identifier: String): CallerReply =
        CallerReply(
            refuse = { refusal -> sendRefusal(response, refusal, identifier) },
            begin = { head -> begin(response, head, identifier) },
        )

    private fun begin(response: HttpServerResponse, head: ResponseHead, identifier: String): BodySink {
        response.statusCode = head.status
        head.headers.forEach { (name, value) -> response.headers().add(name, value) }
        response.putHeader("X-Request-Id", identifier)
        markStale(response)
        if (head.headers.none { it.first.equals("content-length", ignoreCase = true) }) response.isChunked = true
        return BodySink(
            write = { part -> if (!response.closed()) response.write(part) },
            isFull = { !response.closed() && response.writeQueueFull() },
            whenWritable = { action ->
                response.drainHandler { action() }
                response.closeHandler { action() }
            },
            end = { if (!response.closed()) response.end() },
            abort = { response.reset() },
        )
    }

    private fun markStale(response: HttpServerResponse) {
        val age = ports.staleAge() ?: return
        response.putHeader("Dogwoodgrade-Stale-Seconds", age.inWholeSeconds.toString())
    }

    private fun sendRefusal(response: HttpServerResponse, refusal: CallerRefusal, identifier: String) {
        if (response.closed() || response.ended()) return
        response.statusCode = refusal.code.httpStatus
        response.putHeader("Content-Type", "application/json")
        refusal.retryAfter?.let { response.putHeader("Retry-After", retryAfterText(it)) }
        markStale(response)
        response.end(refusalBody(refusal, identifier))
    }
}

/** Returns the JSON body of a refusal. */
internal fun refusalBody(refusal: CallerRefusal, identifier: String): Buffer =
    JsonObject()
        .put("code", refusal.code.number)
        .put("name", refusal.code.name)
        .put("message", refusal.message)
        .put("executed", refusal.execution.text)
        .put("request", identifier)
        .toBuffer()

/** `Retry-After` has whole seconds; the next larger one is given. */
private fun retryAfterText(duration: Duration): String =
    kotlin.math
        .ceil(duration.toDouble(DurationUnit.SECONDS))
        .toLong()
        .coerceAtLeast(1)
        .toString()

/** Returns the parts of the request that are parsed by [parseRequest]. */
internal fun rawRequestOf(context: RoutingContext): RawRequest =
    RawRequest(
        context.request().method().name(),
        context.request().path() ?: "/",
        context.request().query(),
        context
            .request()
            .headers()
            .entries()
            .map { it.key.lowercase() to it.value },
        context.body().buffer()?.bytes ?: ByteArray(0),
    )
