package dogwoodgrade.load

import dogwoodgrade.scenarios.Fleet
import dogwoodgrade.scenarios.FleetEntry
import dogwoodgrade.scenarios.ProgramProcess
import io.vertx.core.Vertx
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val POOL_SLOTS = 65
private const val MAX_REQUESTS = 2_000_000L
private const val MEMORY_REQUESTS = 1_000L
private const val OVERLOAD_RUN_MILLISECONDS = 20
private const val OVERLOAD_CONNECTIONS = 1_024

/** Options of `path-cost`; [time] is the length of one round. */
internal data class PathCostOptions(
    val rounds: Int,
    val time: Duration,
    val connections: List<Int>,
    val entryOptions: List<String>,
)

/** Measures the cost of a hop through an entry against a direct call and [BareProxy], with real processes. */
internal class PathCost(private val options: PathCostOptions, private val folder: Path) {
    private val vertx = Vertx.vertx()
    private val path = "/price/quote"

    /** A way for requests to reach the endpoint; [pid] is the process whose processor time is measured, if any. */
    private data class Route(val name: String, val target: LoadTarget, val pid: Long?)

    private data class Sample(val result: LoadResult, val processorTime: Duration?)

    /** Runs all measurements and prints their tables. */
    fun run() {
        Fleet(folder, options.entryOptions).use { fleet ->
            fleet.startLog()
            val endpoint = fleet.startEndpoint(POOL_SLOTS)
            val entry = fleet.startEntry("entry-a1", "a")
            fleet.awaitOffset(fleet.publishPath(endpoint, POOL_SLOTS))
            println("path-cost: load average ${ProcessCost.loadAverage()}, ${options.rounds} rounds of ${options.time}")
            val entryRoute = Route("entry", LoadTarget(portOf(entry), path, TEAM_HEADERS), entry.process.pid)
            measureMemory(entryRoute)
            startProxy(endpoint.port).use { proxy ->
                val proxyPort = proxy.awaitListening().substringAfterLast(' ').toInt()
                val routes =
                    listOf(
                        Route("direct", LoadTarget(endpoint.port, path), null),
                        Route("bare proxy", LoadTarget(proxyPort, path), proxy.pid),
                        entryRoute,
                    )
                options.connections.forEach { compare(routes, it) }
            }
            println("resident memory of the entry after the load: ${formatResidentMemory(entryRoute)}")
            measureOverload(entryRoute)
        }
        vertx.close()
    }

    private fun startProxy(target: Int): ProgramProcess =
        ProgramProcess.start(
            "bare-proxy",
            BareProxy::class.java.name,
            listOf("--target", "$target"),
            Files.createFile(folder.resolve("bare-proxy.log")),
        )

    private fun measureMemory(route: Route) {
        sendLoad(route, 8, MEMORY_REQUESTS)
        println("resident memory of the entry after $MEMORY_REQUESTS requests: ${formatResidentMemory(route)}")
    }

    private fun formatResidentMemory(route: Route): String =
        "%.0f MB".format(ProcessCost.residentMegabytes(route.pid!!))

    /** The routes take turns in each round. The first round warms up the compiled code and is not counted. */
    private fun compare(routes: List<Route>, connections: Int) {
        val samples = routes.associateWith { mutableListOf<Sample>() }
        for (round in 0..options.rounds) {
            for (route in routes) {
                val sample = sendLoad(route, connections, MAX_REQUESTS)
                if (round > 0) samples.getValue(route).add(sample)
            }
        }
        println("$connections connections, load average ${ProcessCost.loadAverage()}")
        for ((route, routeSamples) in samples) {
            val directSamples = samples.getValue(routes.first())
            val added = routeSamples.zip(directSamples) { routeSample, directSample ->
                medianMilliseconds(routeSample) - medianMilliseconds(directSample)
            }
            println(
                "  %-10s p50 ms %s  added ms %s  p99 ms %s  requests/s %s  processor us/request %s  %s".format(
                    route.name,
                    Spread.of(routeSamples.map(::medianMilliseconds)).format(3),
                    Spread.of(added).format(3),
                    Spread
                        .of(routeSamples.map { it.result.latency(99.0).toDouble(DurationUnit.MILLISECONDS) })
                        .format(2),
                    Spread.of(routeSamples.map { it.result.goodput }).format(0),
                    Spread.of(routeSamples.mapNotNull(::processorMicrosecondsPerRequest)).format(0),
                    routeSamples.flatMap { it.result.outcomes.keys }.toSortedSet(),
                ),
            )
        }
    }

    private fun medianMilliseconds(sample: Sample): Double =
        sample.result.latency(50.0).toDouble(DurationUnit.MILLISECONDS)

    private fun processorMicrosecondsPerRequest(sample: Sample): Double? =
        sample.processorTime?.let {
            it.toDouble(DurationUnit.MICROSECONDS) / sample.result.outcomes.values
                .sum()
        }

    private fun sendLoad(route: Route, connections: Int, requests: Long): Sample {
        val client = LoadClient(vertx, route.target, connections)
        val before = route.pid?.let(ProcessCost::processorTime)
        val result = client.closedLoop(LoadBounds(requests, options.time))
        val used = before?.let { ProcessCost.processorTime(route.pid) - it }
        client.close()
        return Sample(result, used)
    }

    /** Offers load below and above the capacity of the pool. Each task takes a slot for a fixed time. */
    private fun measureOverload(route: Route) {
        val capacity = POOL_SLOTS * 1000 / OVERLOAD_RUN_MILLISECONDS
        println("overload: $POOL_SLOTS slots, $OVERLOAD_RUN_MILLISECONDS ms per task, capacity $capacity/s")
        val headers = TEAM_HEADERS + ("Dogwoodgrade-Deadline-Milliseconds" to "1000")
        for (percent in listOf(50, 80, 100, 150, 200)) {
            val target = route.target.copy(path = "$path?run=$OVERLOAD_RUN_MILLISECONDS", headers = headers)
            val client = LoadClient(vertx, target, OVERLOAD_CONNECTIONS)
            val time = (options.time * 2).coerceAtLeast(3.seconds)
            val result = client.openLoop(capacity * percent / 100, LoadBounds(MAX_REQUESTS, time))
            client.close()
            println("  offered $percent%: $result, load average ${ProcessCost.loadAverage()}")
        }
    }

    private fun portOf(entry: FleetEntry): Int = entry.callerUrl.substringAfterLast(':').toInt()
}
