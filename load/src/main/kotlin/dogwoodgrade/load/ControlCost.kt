package dogwoodgrade.load

import dogwoodgrade.scenarios.FleetEntry
import dogwoodgrade.scenarios.HttpCalls
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit

private const val SETTLE_MILLISECONDS = 5_000L
private const val CHANGE_PAUSE_MILLISECONDS = 100L
private const val POLL_INTERVAL_MILLISECONDS = 2L
private const val SAMPLE_INTERVAL_MILLISECONDS = 500L
private const val LOOP_INTERVAL_MILLISECONDS = 10L
private const val MAX_TEAMS = 350
private const val MAX_POOLS = 209

/** Options of `control-cost`; [time] is the length of the measurement for one row. */
internal data class ControlCostOptions(
    val entries: List<Int>,
    val time: Duration,
    val changes: Int,
    val entryOptions: List<String>,
)

/**
 * Measures the processor time and the control traffic of entries without requests, and how fast changes propagate, with
 * real processes.
 */
internal class ControlCost(private val options: ControlCostOptions, private val folder: Path) {
    /**
     * Processor time of an entry in ms per s, and its traffic with the log service and its peers in bytes per s.
     *
     * @property appends appends per second of all entries
     */
    private data class Cost(val processor: Spread, val log: Spread, val gossip: Spread, val appends: Double)

    /** Runs all measurements and prints their tables. */
    fun run() {
        println("control-cost: load average ${ProcessCost.loadAverage()}, ${options.time} per row, no requests")
        println("per entry: processor time in ms per s, payload bytes per s sent and received at the sockets")
        for (size in options.entries) {
            ControlFleet(Files.createDirectories(folder.resolve("entries-$size")), size, options.entryOptions).use {
                measure(it, size)
            }
        }
    }

    private fun measure(fleet: ControlFleet, size: Int) {
        fleet.addTeams(1..6)
        fleet.addPools(1..5)
        measureRow(fleet, "$size entries, 6 teams, 5 pools")
        measureRow(fleet, "$size entries, 6 teams, 5 pools, 10 changes/s", changesPerSecond = 10)
        measureRow(fleet, "$size entries, 6 teams, 5 pools, 40 changes/s", changesPerSecond = 40)
        if (size != options.entries.last()) return
        fleet.addTeams(7..MAX_TEAMS)
        measureRow(fleet, "$size entries, $MAX_TEAMS teams, 5 pools")
        fleet.addPools(6..MAX_POOLS)
        measureRow(fleet, "$size entries, $MAX_TEAMS teams, $MAX_POOLS pools")
        measureRow(fleet, "$size entries, $MAX_TEAMS teams, $MAX_POOLS pools, 10 changes/s", changesPerSecond = 10)
        println(
            "resident memory MB ${Spread.of(
                fleet.entries.map { ProcessCost.residentMegabytes(it.process.pid) },
            ).format(0)}",
        )
        measurePropagation(fleet, "log at every entry")
        fleet.links.forEach { it.setCut(true) }
        Thread.sleep(SETTLE_MILLISECONDS)
        measurePropagation(fleet, "log cut off at every second entry")
    }

    private fun measureRow(fleet: ControlFleet, name: String, changesPerSecond: Int = 0) {
        Thread.sleep(SETTLE_MILLISECONDS)
        val cost = costOf(fleet, changesPerSecond)
        println(
            "  %-52s processor %s  log B/s %s  peers B/s %s  appends/s %.1f  load average %s".format(
                name,
                cost.processor.format(1),
                cost.log.format(0),
                cost.gossip.format(0),
                cost.appends,
                ProcessCost.loadAverage(),
            ),
        )
    }

    private fun costOf(fleet: ControlFleet, changesPerSecond: Int): Cost {
        val pids = fleet.entries.map { it.process.pid }
        val traffic = TrafficSum()
        val begin = System.nanoTime()
        val processor = pids.map(ProcessCost::processorTime)
        val appends = fleet.appends()
        publishAndSample(fleet, traffic, begin, changesPerSecond)
        val seconds = (System.nanoTime() - begin).nanoseconds.toDouble(DurationUnit.SECONDS)
        val used = pids.zip(processor) { pid, before -> ProcessCost.processorTime(pid) - before }
        return Cost(
            Spread.of(used.map { it.toDouble(DurationUnit.MILLISECONDS) / seconds }),
            Spread.of(pids.map { traffic.bytesOf(it, fleet.logPorts) / seconds }),
            Spread.of(pids.map { traffic.bytesOf(it, fleet.gossipPorts) / seconds }),
            (fleet.appends() - appends) / seconds,
        )
    }

    /** Samples the sockets several times per second, because an entry closes idle connections. */
    private fun publishAndSample(fleet: ControlFleet, traffic: TrafficSum, begin: Long, changesPerSecond: Int) {
        val end = begin + options.time.inWholeNanoseconds
        var changes = 0
        var lastSample = 0L
        traffic.add(SocketBytes.read())
        while (System.nanoTime() < end) {
            val elapsedTime = (System.nanoTime() - begin).nanoseconds
            while (changes < elapsedTime.toDouble(DurationUnit.SECONDS) * changesPerSecond) {
                fleet.publishChange()
                changes++
            }
            if (elapsedTime.inWholeMilliseconds / SAMPLE_INTERVAL_MILLISECONDS > lastSample) {
                lastSample = elapsedTime.inWholeMilliseconds / SAMPLE_INTERVAL_MILLISECONDS
                traffic.add(SocketBytes.read())
            }
            Thread.sleep(LOOP_INTERVAL_MILLISECONDS)
        }
        traffic.add(SocketBytes.read())
    }

    /** Measures from the response of the log service to the append; entries are polled every few milliseconds. */
    private fun measurePropagation(fleet: ControlFleet, name: String) {
        val result = LoadResult()
        val begin = System.nanoTime()
        repeat(options.changes) {
            val offset = fleet.publishChange()
            val accepted = System.nanoTime()
            fleet.entries
                .map { entry ->
                    CompletableFuture.runAsync { awaitOffset(entry, offset) }
                }.forEach { it.join() }
            result.success(System.nanoTime() - accepted)
            Thread.sleep(CHANGE_PAUSE_MILLISECONDS)
        }
        result.elapsed = (System.nanoTime() - begin).nanoseconds
        println("propagation to the last of ${fleet.entries.size}, $name: $result, ${ProcessCost.loadAverage()}")
    }

    private fun awaitOffset(entry: FleetEntry, offset: Long) {
        while (appliedOffset(entry) <= offset) Thread.sleep(POLL_INTERVAL_MILLISECONDS)
    }

    /** Reads the offset from `/entries`, which computes no digest, unlike `/state`. */
    private fun appliedOffset(entry: FleetEntry): Long =
        HttpCalls
            .send("GET", "${entry.operatorUrl}/entries")
            .json["offset"]
            ?.jsonPrimitive
            ?.long ?: 0
}
