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
 * A task runs for the number of milliseconds in the query parameter `run`; its response contains the path, the request
 * identifier and the body. A task continues when its connection is lost and ends when its task lease
 * (`Dogwoodgrade-Lease-Until`) expires.
 *
 * `GET /statistics` returns the running and started tasks per team, the largest number of running tasks per team, the
 * time of the latest start and the request identifiers that were started more than once.
 *
 * `POST /control` with `{"fault": "none"|"fail"|"hang"|"cut"|"close"}` sets a fault:
 *
 * - `fail`: respond with status 500 without running the task
 * - `hang`: run each task until its lease expires, for at most 10 minutes
 * - `cut`: close the connection in the middle of the response
 * - `close`: close the connection after the task has started
 */
internal class EndpointStandIn(
    private val vertx: Vertx,
    private val slots: Int,
) {
    private val runningByTeam = HashMap<String, Int>()
    private val largestByTeam = HashMap<String, Int>()
    private val startedByTeam = HashMap<String, Int>()
    private val startsByRequest = HashMap<String, Int>()
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
            // Echoing the attempt lets entries send several requests over one connection, see docs/interface.md.
            val attempt = context.request().getHeader("Dogwoodgrade-Attempt")
            if (attempt != null) context.response().putHeader("Dogwoodgrade-Attempt", attempt)
            runTask(context)
        }
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1")
    }

    private fun statistics(): JsonObject =
        JsonObject()
            .put("running", JsonObject(runningByTeam.toMap()))
            .put("largest", JsonObject(largestByTeam.toMap()))
            .put("started", JsonObject(startedByTeam.toMap()))
            .put("lastStart", lastStart)
            .put("repeated", JsonObject(startsByRequest.filterValues { it > 1 }))

    private fun runTask(context: RoutingContext) {
        val leaseEnd = context.request().getHeader("Dogwoodgrade-Lease-Until")?.toLong() ?: Long.MAX_VALUE
        val now = System.currentTimeMillis()
        if (runningTotal >= slots || now >= leaseEnd) {
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
        recordStart(team, context.request().getHeader("X-Request-Id") ?: "none", now)
        val runMilliseconds = context.queryParam("run").firstOrNull()?.toLong() ?: 0L
        val end = if (fault == "hang") leaseEnd else minOf(now + runMilliseconds, leaseEnd)
        if (fault == "close") context.request().connection().close()
        if (end <= now) {
            finishTask(context, team)
        } else {
            vertx.setTimer((end - now).coerceAtMost(MAX_TASK_MILLISECONDS)) { finishTask(context, team) }
        }
    }

    private fun recordStart(team: String, request: String, now: Long) {
        runningTotal++
        val count = runningByTeam.merge(team, 1, Int::plus) ?: 1
        largestByTeam.merge(team, count, ::maxOf)
        startedByTeam.merge(team, 1, Int::plus)
        if (startsByRequest.size < MAX_TRACKED_REQUESTS) startsByRequest.merge(request, 1, Int::plus)
        lastStart = now
    }

    private fun finishTask(context: RoutingContext, team: String) {
        runningTotal--
        runningByTeam.merge(team, -1, Int::plus)
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
        const val MAX_TASK_MILLISECONDS = 600_000L
        const val MAX_TRACKED_REQUESTS = 100_000
    }
}
