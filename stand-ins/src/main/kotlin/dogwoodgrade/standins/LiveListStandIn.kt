package dogwoodgrade.standins

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for the platform's list of live and leaving instances.
 *
 * `POST /control` with `{"instances": {"name": "live"|"leaving"|"gone"}, "outage": false}` sets states of instances;
 * `gone` removes an instance. A state change appears in the list after [lagMilliseconds]. During an outage, reads of
 * the list fail with status 503.
 */
internal class LiveListStandIn(
    private val vertx: Vertx,
    private val lagMilliseconds: Long,
) {
    private val states = sortedMapOf<String, String>()
    private var outage = false

    fun start(port: Int): Future<HttpServer> {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            val body = bodyOf(context)
            outage = body.getBoolean("outage", outage)
            body.getJsonObject("instances")?.forEach { (name, state) -> setStateAfterLag(name, state as String) }
            context.end()
        }
        router.get("/instances").handler { context ->
            if (outage) return@handler context.fail(503)
            val list = states.map { (name, state) -> JsonObject().put("name", name).put("state", state) }
            context.json(JsonObject().put("instances", JsonArray(list)))
        }
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1")
    }

    private fun setStateAfterLag(name: String, state: String) {
        val applyState = { if (state == "gone") states.remove(name) else states.put(name, state) }
        if (lagMilliseconds > 0) vertx.setTimer(lagMilliseconds) { applyState() } else applyState()
    }
}
