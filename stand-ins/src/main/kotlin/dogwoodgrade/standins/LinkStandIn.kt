package dogwoodgrade.standins

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for a network link that can be partitioned: a TCP proxy to one target.
 *
 * While the link is cut, it accepts connections but forwards nothing, so that both sides see what they would see in a
 * network that drops packets.
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

    /** Serves `POST /control` on [port]; `{"cut": true}` cuts the link and `{"cut": false}` restores it. */
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

    private fun connect(clientSocket: NetSocket) {
        clientSocket.pause()
        track(clientSocket)
        if (cut) return
        vertx.createNetClient().connect(targetPort, targetHost).onComplete { result ->
            if (result.failed()) {
                clientSocket.close()
                return@onComplete
            }
            val targetSocket = result.result()
            track(targetSocket)
            forward(clientSocket, targetSocket)
            forward(targetSocket, clientSocket)
            if (cut) targetSocket.pause() else clientSocket.resume()
        }
    }

    private fun forward(source: NetSocket, destination: NetSocket) {
        source.handler { buffer -> if (!cut) destination.write(buffer) }
        source.closeHandler {
            sockets.remove(source)
            if (!cut) destination.close()
        }
    }

    private fun track(socket: NetSocket) {
        sockets.add(socket)
        socket.closeHandler { sockets.remove(socket) }
        socket.exceptionHandler { socket.close() }
    }
}
