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
 * Stand-in for the platform's log service: streams with offsets, a limited append rate, retention by count, and
 * switchable faults. Everything runs on one event loop, so no locks are needed.
 *
 * Faults are set with `POST /control` and a JSON object: `outage` (boolean), `loseAnswers` (number of appends that take
 * effect and whose connection is then closed), `duplicate` (number of appends that take effect twice), `delay`
 * (milliseconds before each answer).
 */
internal class LogStandIn(
    private val vertx: Vertx,
    private val appendsPerSecond: Int,
    private val retention: Int,
) {
    private class Stream {
        val records = ArrayDeque<ByteArray>()
        var first = 0L
        val next: Long get() = first + records.size
        val waiting = mutableListOf<() -> Unit>()
    }

    private val streams = HashMap<String, Stream>()
    private var faults = JsonObject()
    private var second = 0L
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
        router.post("/streams/:stream/records").handler { context -> delayed { append(context) } }
        router.get("/streams/:stream/records").handler { context -> delayed { read(context) } }
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1")
    }

    private fun delayed(action: () -> Unit) {
        val delay = faults.getLong("delay", 0L)
        if (delay > 0) vertx.setTimer(delay) { action() } else action()
    }

    private fun append(context: RoutingContext) {
        if (faults.getBoolean("outage", false)) return context.fail(503)
        if (!takeRate()) return context.fail(429)
        val stream = streams.getOrPut(context.pathParam("stream").orEmpty()) { Stream() }
        val offset = stream.next
        val copies = if (takeFault("duplicate")) 2 else 1
        repeat(copies) { stream.records.addLast(context.body().buffer()?.bytes ?: ByteArray(0)) }
        appends += copies
        while (stream.records.size > retention) {
            stream.records.removeFirst()
            stream.first++
        }
        stream.waiting
            .toList()
            .also { stream.waiting.clear() }
            .forEach { it() }
        if (takeFault("loseAnswers")) {
            context.request().connection().close()
        } else {
            context.json(JsonObject().put("offset", offset))
        }
    }

    private fun takeRate(): Boolean {
        val now = System.nanoTime() / 1_000_000_000
        if (now != second) {
            second = now
            appendsInSecond = 0
        }
        return ++appendsInSecond <= appendsPerSecond
    }

    private fun takeFault(name: String): Boolean {
        val left = faults.getInteger(name, 0)
        if (left > 0) faults.put(name, left - 1)
        return left > 0
    }

    private fun read(context: RoutingContext) {
        if (faults.getBoolean("outage", false)) return context.fail(503)
        val stream = streams.getOrPut(context.pathParam("stream").orEmpty()) { Stream() }
        val from = context.queryParam("from").first().toLong()
        val limit = context.queryParam("limit").firstOrNull()?.toInt() ?: 1000
        val wait = context.queryParam("wait").firstOrNull()?.toLong() ?: 0L
        if (from >= stream.next && wait > 0) {
            var answered = false
            val answer = {
                if (!answered) {
                    answered = true
                    answerRead(context, stream, from, limit)
                }
            }
            stream.waiting.add(answer)
            vertx.setTimer(wait) {
                stream.waiting.remove(answer)
                answer()
            }
        } else {
            answerRead(context, stream, from, limit)
        }
    }

    private fun answerRead(context: RoutingContext, stream: Stream, from: Long, limit: Int) {
        if (context.response().closed() || faults.getBoolean("outage", false)) {
            if (!context.response().closed()) context.fail(503)
            return
        }
        if (from < stream.first) {
            context.response().setStatusCode(410).end(JsonObject().put("first", stream.first).encode())
            return
        }
        val records = JsonArray()
        for (offset in from until minOf(stream.next, from + limit)) {
            val data = Base64.getEncoder().encodeToString(stream.records[(offset - stream.first).toInt()])
            records.add(JsonObject().put("offset", offset).put("data", data))
        }
        context.json(JsonObject().put("first", stream.first).put("next", stream.next).put("records", records))
    }
}
