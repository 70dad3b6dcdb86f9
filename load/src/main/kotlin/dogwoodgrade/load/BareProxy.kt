package dogwoodgrade.load

import dogwoodgrade.commandline.parseOrExit
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required

private const val CONNECTIONS = 64

/**
 * The least that a proxy has to do with the same library: one event loop, no queue, no check, no retry. It is the
 * baseline of `path-cost`.
 */
internal object BareProxy {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val parser = ArgParser("bare-proxy")
        val target by parser.option(ArgType.Int, "target", description = "port of the endpoint").required()
        parser.parseOrExit(arguments)
        val vertx = Vertx.vertx()
        val client =
            vertx.createHttpClient(
                HttpClientOptions().setDefaultHost("127.0.0.1").setDefaultPort(target),
                PoolOptions().setHttp1MaxSize(CONNECTIONS).setMaxWaitQueueSize(-1),
            )
        vertx
            .createHttpServer()
            .requestHandler { inbound ->
                inbound
                    .body()
                    .compose { body ->
                        client.request(inbound.method(), inbound.uri()).compose { outbound ->
                            inbound.headers().forEach { outbound.putHeader(it.key, it.value) }
                            outbound.send(body)
                        }
                    }.compose { answer ->
                        inbound
                            .response()
                            .setStatusCode(answer.statusCode())
                            .headers()
                            .addAll(answer.headers())
                        answer.pipeTo(inbound.response())
                    }.onFailure { inbound.response().reset() }
            }.listen(0, "127.0.0.1")
            .onComplete { println("listening on ${it.result().actualPort()}") }
    }
}
