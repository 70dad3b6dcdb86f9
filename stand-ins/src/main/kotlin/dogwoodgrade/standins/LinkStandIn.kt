package dogwoodgrade.standins

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for a network link that can be partitioned: forwards TCP to one target and, while it is cut, accepts
 * connections but forwards nothing, as a network that drops packets looks like to both sides.
 */
internal class LinkStandIn(
    private val vertx: Vertx,
    private val targetHost: String,
    private val targetPort: Int,
) {
    private var cut = false
    private val sockets = HashSet<NetSocket>()

    fun start(port: Int): Future<NetServer> =
        vertx
            .createNetServer()
            .connectHandler(::connect)
            .listen(port, "127.0.0.1")

    /** Serves `POST /control` with `{"cut": true|false}` on [port]. */
    fun startControl(port: Int): Future<HttpServer> {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            setCut(bodyOf(context).getBoolean("cut"))
            context.end()
        }
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1")
    }

    private fun setCut(value: Boolean) {
        cut = value
        if (cut) sockets.forEach { it.pause() } else sockets.toList().forEach { it.close() }
    }

    private fun connect(near: NetSocket) {
        near.pause()
        track(near)
        if (cut) return
        vertx.createNetClient().connect(targetPort, targetHost).onComplete { result ->
            if (result.failed()) {
                near.close()
                return@onComplete
            }
            val far = result.result()
            track(far)
            forward(near, far)
            forward(far, near)
            if (cut) far.pause() else near.resume()
        }
    }

    private fun forward(from: NetSocket, to: NetSocket) {
        from.handler { buffer -> if (!cut) to.write(buffer) }
        from.closeHandler {
            sockets.remove(from)
            if (!cut) to.close()
        }
    }

    private fun track(socket: NetSocket) {
        sockets.add(socket)
        socket.closeHandler { sockets.remove(socket) }
        socket.exceptionHandler { socket.close() }
    }
}
