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

private const val SLOTS = 65
private const val MAX_REQUESTS = 2_000_000L
private const val MEMORY_REQUESTS = 1_000L
private const val OVERLOAD_RUN_MILLISECONDS = 20
private const val OVERLOAD_CONNECTIONS = 1_024

/** Options of `path-cost`. */
internal data class PathCostOptions(
    val rounds: Int,
    val time: Duration,
    val connections: List<Int>,
    val entryOptions: List<String>,
)

/** Measures what one entry hop costs over a direct call and over [BareProxy], with real processes. */
internal class PathCost(private val options: PathCostOptions, private val folder: Path) {
    private val vertx = Vertx.vertx()
    private val path = "/price/quote"

    private data class Side(val name: String, val target: LoadTarget, val pid: Long?)

    private data class Sample(val result: LoadResult, val processorTime: Duration?)

    /** Runs all parts and prints their tables. */
    fun run() {
        Fleet(folder, options.entryOptions).use { fleet ->
            fleet.startLog()
            val endpoint = fleet.startEndpoint(SLOTS)
            val entry = fleet.startEntry("entry-a1", "a")
            fleet.awaitOffset(fleet.publishPath(endpoint, SLOTS))
            println("path-cost: load average ${ProcessCost.loadAverage()}, ${options.rounds} rounds of ${options.time}")
            val entrySide = Side("entry", LoadTarget(portOf(entry), path, TeamHeaders), entry.process.pid)
            memory(entrySide)
            startProxy(endpoint.port).use { proxy ->
                val proxyPort = proxy.awaitListening().substringAfterLast(' ').toInt()
                val sides =
                    listOf(
                        Side("direct", LoadTarget(endpoint.port, path), null),
                        Side("bare proxy", LoadTarget(proxyPort, path), proxy.pid),
                        entrySide,
                    )
                options.connections.forEach { compare(sides, it) }
            }
            println("resident memory of the entry after the load: ${megabytes(entrySide)}")
            overload(entrySide)
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

    private fun memory(side: Side) {
        load(side, 8, MEMORY_REQUESTS)
        println("resident memory of the entry after $MEMORY_REQUESTS requests: ${megabytes(side)}")
    }

    private fun megabytes(side: Side): String = "%.0f MB".format(ProcessCost.residentMegabytes(side.pid!!))

    /** One round that is not counted warms up the compiled code of all sides; then the sides take turns. */
    private fun compare(sides: List<Side>, connections: Int) {
        val samples = sides.associateWith { mutableListOf<Sample>() }
        for (round in 0..options.rounds) {
            for (side in sides) {
                val sample = load(side, connections, MAX_REQUESTS)
                if (round > 0) samples.getValue(side).add(sample)
            }
        }
        println("$connections connections, load average ${ProcessCost.loadAverage()}")
        for ((side, taken) in samples) {
            val direct = samples.getValue(sides.first())
            val added = taken.zip(direct) { one, other -> median(one) - median(other) }
            println(
                "  %-10s p50 ms %s  added ms %s  p99 ms %s  requests/s %s  processor us/request %s  %s".format(
                    side.name,
                    Spread.of(taken.map(::median)).format(3),
                    Spread.of(added).format(3),
                    Spread.of(taken.map { it.result.latency(99.0).toDouble(DurationUnit.MILLISECONDS) }).format(2),
                    Spread.of(taken.map { it.result.goodput }).format(0),
                    Spread.of(taken.mapNotNull(::microseconds)).format(0),
                    taken.flatMap { it.result.outcomes.keys }.toSortedSet(),
                ),
            )
        }
    }

    private fun median(sample: Sample): Double = sample.result.latency(50.0).toDouble(DurationUnit.MILLISECONDS)

    private fun microseconds(sample: Sample): Double? =
        sample.processorTime?.let {
            it.toDouble(DurationUnit.MICROSECONDS) / sample.result.outcomes.values
                .sum()
        }

    private fun load(side: Side, connections: Int, requests: Long): Sample {
        val client = LoadClient(vertx, side.target, connections)
        val before = side.pid?.let(ProcessCost::processorTime)
        val result = client.closedLoop(LoadBounds(requests, options.time))
        val used = before?.let { ProcessCost.processorTime(side.pid) - it }
        client.close()
        return Sample(result, used)
    }

    /** Offers parts and multiples of what the pool can run; each task takes a slot for a fixed time. */
    private fun overload(side: Side) {
        val capacity = SLOTS * 1000 / OVERLOAD_RUN_MILLISECONDS
        println("overload: $SLOTS slots, $OVERLOAD_RUN_MILLISECONDS ms per task, capacity $capacity/s")
        val headers = TeamHeaders + ("Dogwoodgrade-Deadline-Milliseconds" to "1000")
        for (percent in listOf(50, 80, 100, 150, 200)) {
            val target = side.target.copy(path = "$path?run=$OVERLOAD_RUN_MILLISECONDS", headers = headers)
            val client = LoadClient(vertx, target, OVERLOAD_CONNECTIONS)
            val time = (options.time * 2).coerceAtLeast(3.seconds)
            val result = client.openLoop(capacity * percent / 100, LoadBounds(MAX_REQUESTS, time))
            client.close()
            println("  offered $percent%: $result, load average ${ProcessCost.loadAverage()}")
        }
    }

    private fun portOf(entry: FleetEntry): Int = entry.caller.substringAfterLast(':').toInt()
}
