package dogwoodgrade.standins

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import java.util.Base64

/**
 * Stand-in for the platform's log service: streams with offsets, a limited append rate, retention by number of records
 * and configurable faults. All requests run on one event loop, so no locks are needed.
 *
 * `POST /control` with a JSON object sets faults:
 *
 * - `outage` (boolean): refuse appends and reads with status 503
 * - `loseAnswers` (number of appends): append the record, then close the connection without a response
 * - `duplicate` (number of appends): append the record twice
 * - `delay` (milliseconds): wait before each append and read
 */
internal class LogStandIn(
    private val vertx: Vertx,
    private val appendsPerSecond: Int,
    private val retention: Int,
) {
    private class Stream {
        val records = ArrayDeque<ByteArray>()
        var firstOffset = 0L
        val nextOffset: Long get() = firstOffset + records.size
        val waitingReads = mutableListOf<() -> Unit>()
    }

    private val streams = HashMap<String, Stream>()
    private var faults = JsonObject()
    private var currentSecond = 0L
    private var appendsInSecond = 0
    private var appends = 0L

    fun start(port: Int): Future<HttpServer> {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            faults.mergeIn(bodyOf(context))
            context.json(faults)
        }
        router.get("/statistics").handler { context -> context.json(JsonObject().put("appends", appends)) }
        router.post("/streams/:stream/records").handler { context -> afterDelay { append(context) } }
        router.get("/streams/:stream/records").handler { context -> afterDelay { read(context) } }
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1")
    }

    private fun afterDelay(action: () -> Unit) {
        val delay = faults.getLong("delay", 0L)
        if (delay > 0) vertx.setTimer(delay) { action() } else action()
    }

    private fun append(context: RoutingContext) {
        if (faults.getBoolean("outage", false)) return context.fail(503)
        if (!tryCountAppend()) return context.fail(429)
        val stream = streams.getOrPut(context.pathParam("stream").orEmpty()) { Stream() }
        val offset = stream.nextOffset
        val copies = if (takeFault("duplicate")) 2 else 1
        repeat(copies) { stream.records.addLast(context.body().buffer()?.bytes ?: ByteArray(0)) }
        appends += copies
        while (stream.records.size > retention) {
            stream.records.removeFirst()
            stream.firstOffset++
        }
        stream.waitingReads
            .toList()
            .also { stream.waitingReads.clear() }
            .forEach { it() }
        if (takeFault("loseAnswers")) {
            context.request().connection().close()
        } else {
            context.json(JsonObject().put("offset", offset))
        }
    }

    private fun tryCountAppend(): Boolean {
        val now = System.nanoTime() / 1_000_000_000
        if (now != currentSecond) {
            currentSecond = now
            appendsInSecond = 0
        }
        return ++appendsInSecond <= appendsPerSecond
    }

    private fun takeFault(name: String): Boolean {
        val remaining = faults.getInteger(name, 0)
        if (remaining > 0) faults.put(name, remaining - 1)
        return remaining > 0
    }

    private fun read(context: RoutingContext) {
        if (faults.getBoolean("outage", false)) return context.fail(503)
        val stream = streams.getOrPut(context.pathParam("stream").orEmpty()) { Stream() }
        val from = context.queryParam("from").first().toLong()
        val limit = context.queryParam("limit").firstOrNull()?.toInt() ?: 1000
        val waitMilliseconds = context.queryParam("wait").firstOrNull()?.toLong() ?: 0L
        if (from >= stream.nextOffset && waitMilliseconds > 0) {
            var responded = false
            val respondOnce = {
                if (!responded) {
                    responded = true
                    respondToRead(context, stream, from, limit)
                }
            }
            stream.waitingReads.add(respondOnce)
            vertx.setTimer(waitMilliseconds) {
                stream.waitingReads.remove(respondOnce)
                respondOnce()
            }
        } else {
            respondToRead(context, stream, from, limit)
        }
    }

    private fun respondToRead(context: RoutingContext, stream: Stream, from: Long, limit: Int) {
        if (context.response().closed() || faults.getBoolean("outage", false)) {
            if (!context.response().closed()) context.fail(503)
            return
        }
        if (from < stream.firstOffset) {
            context.response().setStatusCode(410).end(JsonObject().put("first", stream.firstOffset).encode())
            return
        }
        val records = JsonArray()
        for (offset in from until minOf(stream.nextOffset, from + limit)) {
            val data = Base64.getEncoder().encodeToString(stream.records[(offset - stream.firstOffset).toInt()])
            records.add(JsonObject().put("offset", offset).put("data", data))
        }
        context.json(
            JsonObject().put("first", stream.firstOffset).put("next", stream.nextOffset).put("records", records),
        )
    }
}
