package dogwoodgrade.load

import dogwoodgrade.commandline.parseOrExit
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required

private const val MAX_CONNECTIONS = 64

/**
 * A minimal proxy on the same HTTP library as the entry: one event loop, without queues, checks or retries. It is the
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
                PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(-1),
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
                    }.compose { endpointResponse ->
                        inbound
                            .response()
                            .setStatusCode(endpointResponse.statusCode())
                            .headers()
                            .addAll(endpointResponse.headers())
                        endpointResponse.pipeTo(inbound.response())
                    }.onFailure { inbound.response().reset() }
            }.listen(0, "127.0.0.1")
            .onComplete { println("listening on ${it.result().actualPort()}") }
    }
}
