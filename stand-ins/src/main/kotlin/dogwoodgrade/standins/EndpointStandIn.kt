package dogwoodgrade.standins

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for an endpoint with a fixed number of slots.
 *
 * A task runs for the milliseconds in the query parameter `run` and answers with its path, request identifier and body.
 * A task goes on when its connection is lost, and is stopped when its lease (`Dogwoodgrade-Lease-Until`) has expired.
 * `GET /statistics` tells running and started tasks per team, the largest number of running tasks per team and the
 * request identifiers that were started more than once. `POST /control` with `{"fault": "none"|"fail"|"hang"|"cut"|
 * "close"}` sets a fault: answer with status 500 at once, never answer, cut the answer in its middle, or close the
 * connection after the task started.
 */
internal class EndpointStandIn(
    private val vertx: Vertx,
    private val slots: Int,
) {
    private val running = HashMap<String, Int>()
    private val largest = HashMap<String, Int>()
    private val started = HashMap<String, Int>()
    private val requests = HashMap<String, Int>()
    private var runningTotal = 0
    private var lastStart = 0L
    private var fault = "none"

    fun start(port: Int): Future<HttpServer> {
        val router = Router.router(vertx)
        router.get("/statistics").handler { context -> context.json(statistics()) }
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            fault = bodyOf(context).getString("fault", "none")
            context.end()
        }
        router.route().handler { context ->
            // Lets entries send several requests over one connection, see docs/interface.md.
            val attempt = context.request().getHeader("Dogwoodgrade-Attempt")
            if (attempt != null) context.response().putHeader("Dogwoodgrade-Attempt", attempt)
            run(context)
        }
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1")
    }

    private fun statistics(): JsonObject =
        JsonObject()
            .put("running", JsonObject(running.toMap()))
            .put("largest", JsonObject(largest.toMap()))
            .put("started", JsonObject(started.toMap()))
            .put("lastStart", lastStart)
            .put("repeated", JsonObject(requests.filterValues { it > 1 }))

    private fun run(context: RoutingContext) {
        val lease = context.request().getHeader("Dogwoodgrade-Lease-Until")?.toLong() ?: Long.MAX_VALUE
        val now = System.currentTimeMillis()
        if (runningTotal >= slots || now >= lease) {
            context
                .response()
                .setStatusCode(503)
                .putHeader("Dogwoodgrade-Executed", "no")
                .end("busy")
            return
        }
        if (fault == "fail") {
            context.response().setStatusCode(500).end("failed")
            return
        }
        val team = context.request().getHeader("Dogwoodgrade-Team") ?: "open"
        begin(team, context.request().getHeader("X-Request-Id") ?: "none", now)
        val time = context.queryParam("run").firstOrNull()?.toLong() ?: 0L
        val end = if (fault == "hang") lease else minOf(now + time, lease)
        if (fault == "close") context.request().connection().close()
        if (end <= now) {
            finish(context, team)
        } else {
            vertx.setTimer((end - now).coerceAtMost(MAX_RUN_MILLISECONDS)) { finish(context, team) }
        }
    }

    private fun begin(team: String, request: String, now: Long) {
        runningTotal++
        val count = running.merge(team, 1, Int::plus) ?: 1
        largest.merge(team, count, ::maxOf)
        started.merge(team, 1, Int::plus)
        if (requests.size < MAX_REMEMBERED_REQUESTS) requests.merge(request, 1, Int::plus)
        lastStart = now
    }

    private fun finish(context: RoutingContext, team: String) {
        runningTotal--
        running.merge(team, -1, Int::plus)
        if (context.response().closed()) return
        val body =
            JsonObject()
                .put("path", context.request().path())
                .put("request", context.request().getHeader("X-Request-Id"))
                .put("body", context.body().asString())
                .toBuffer()
        if (fault == "cut") {
            context.response().putHeader("Content-Length", body.length().toString())
            context.response().write(Buffer.buffer(body.getBytes(0, body.length() / 2)))
            context.request().connection().close()
        } else {
            context.response().putHeader("Content-Type", "application/json").end(body)
        }
    }

    private companion object {
        const val MAX_RUN_MILLISECONDS = 600_000L
        const val MAX_REMEMBERED_REQUESTS = 100_000
    }
}
