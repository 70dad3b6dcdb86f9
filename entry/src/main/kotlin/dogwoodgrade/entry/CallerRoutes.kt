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
 * Functions of the process that the caller routes use.
 *
 * @property post posts an arrival to the workers; `false` if they are too far behind
 * @property callerLeft reports that a caller has closed its connection
 * @property isStopping whether the entry is shutting down
 * @property staleAge age of the configuration while it is stale, otherwise `null`
 * @property recordRefusal reports a refusal before admission to the metrics
 */
internal data class CallerRoutePorts(
    val post: (EntryEvent.Arrived) -> Boolean,
    val callerLeft: (RequestIdentifier) -> Unit,
    val isStopping: () -> Boolean,
    val staleAge: () -> Duration?,
    val recordRefusal: (ResultCode) -> Unit,
)

/** HTTP routes for callers. They convert between HTTP and events, and make no decisions. */
internal class CallerRoutes(private val limits: RequestLimits, private val ports: CallerRoutePorts) {
    /** Returns the router of the listener; [jobs] adds the routes of the job interface. */
    fun router(vertx: Vertx, jobs: (Router) -> Unit): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(limits.maximumBodyBytes.toLong()))
        router.route().failureHandler(::handleFailure)
        jobs(router)
        router.route().handler(::handleRequest)
        return router
    }

    private fun handleFailure(context: RoutingContext) {
        val refusal =
            if (context.statusCode() == STATUS_TOO_LARGE) {
                CallerRefusal(ResultCode.BodyTooLarge, "the body exceeds ${limits.maximumBodyBytes} bytes")
            } else {
                CallerRefusal(ResultCode.MalformedRequest, "the request cannot be read")
            }
        refuseEarly(context, refusal)
    }

    private fun handleRequest(context: RoutingContext) {
        if (ports.isStopping()) {
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
                context.response().closeHandler { ports.callerLeft(identifier) }
            }
        if (!ports.post(event)) {
            refuseEarly(context, CallerRefusal(ResultCode.Overloaded, "the entry is overloaded"))
        }
    }

    private fun refuseEarly(context: RoutingContext, refusal: CallerRefusal) {
        ports.recordRefusal(refusal.code)
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

/** Rounds up, because `Retry-After` has whole seconds. */
private fun retryAfterText(duration: Duration): String =
    kotlin.math
        .ceil(duration.toDouble(DurationUnit.SECONDS))
        .toLong()
        .coerceAtLeast(1)
        .toString()

/** Returns the parts of the request that [parseRequest] reads. */
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
