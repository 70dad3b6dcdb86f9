package dogwoodgrade.standins

import dogwoodgrade.commandline.parseOrExit
import io.vertx.core.Future
import io.vertx.core.Vertx
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

/**
 * Starts one stand-in and prints `listening on PORT` as soon as it accepts connections; a link prints
 * `listening control=PORT on PORT`.
 */
fun main(arguments: Array<String>) {
    val parser = ArgParser("stand-in")
    val kind by parser.argument(ArgType.Choice(listOf("log-service", "live-list", "endpoint", "link"), { it }))
    val port by parser.option(ArgType.Int, "port", description = "listening port").default(0)
    val slots by parser.option(ArgType.Int, "slots", description = "slots of an endpoint").default(8)
    val rate by parser.option(ArgType.Int, "rate", description = "appends a second of the log").default(300)
    val retention by parser.option(ArgType.Int, "retention", description = "records a stream keeps").default(100_000)
    val lag by parser
        .option(
            ArgType.Int,
            "lag",
            description = "milliseconds until the live list shows a change",
        ).default(0)
    val target by parser.option(ArgType.String, "target", description = "host:port that a link forwards to").default("")
    val control by parser.option(ArgType.Int, "control", description = "control port of a link").default(0)
    parser.parseOrExit(arguments)
    val vertx = Vertx.vertx()
    val started: Future<String> =
        when (kind) {
            "log-service" -> LogStandIn(vertx, rate, retention).start(port).map { "on ${it.actualPort()}" }
            "live-list" -> LiveListStandIn(vertx, lag.toLong()).start(port).map { "on ${it.actualPort()}" }
            "endpoint" -> EndpointStandIn(vertx, slots).start(port).map { "on ${it.actualPort()}" }
            else -> startLink(vertx, target, port, control)
        }
    started.onComplete { result ->
        if (result.succeeded()) {
            println("listening ${result.result()}")
        } else {
            System.err.println("stand-in: cannot listen: ${result.cause().message}")
            vertx.close()
        }
    }
}

private fun startLink(vertx: Vertx, target: String, port: Int, control: Int): Future<String> {
    val link = LinkStandIn(vertx, target.substringBefore(':'), target.substringAfter(':').toInt())
    return link.startControl(control).compose { controlServer ->
        link.start(port).map { "control=${controlServer.actualPort()} on ${it.actualPort()}" }
    }
}
