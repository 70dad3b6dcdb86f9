package dogwoodgrade.scenarios

import dogwoodgrade.operator.runOperator
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.TimeSource

/** Prints each outcome with the time since the start and counts the outcomes that are not as expected. */
public class OutcomeLog(private val print: (String) -> Unit) {
    private val start = TimeSource.Monotonic.markNow()

    /** Number of outcomes that were not as expected. */
    public var failures: Int = 0
        private set

    /** Prints the outcome [text] as `ok` if it is [expected], otherwise as `FAIL`. */
    public fun report(expected: Boolean, text: String) {
        if (!expected) failures++
        val seconds = start.elapsedNow().inWholeMilliseconds / 1000.0
        print("%6.1f s  %-4s  %s".format(seconds, if (expected) "ok" else "FAIL", text))
    }
}

/** The processes of the demonstration: a log service, a live list, and two zones of two entries and two endpoints. */
public class Demonstration(private val folder: Path, private val print: (String) -> Unit) : AutoCloseable {
    /** Processes of the demonstration. */
    public val fleet: Fleet = Fleet(folder)

    /** Endpoints by instance name. */
    public val endpoints: MutableMap<String, FleetEndpoint> = mutableMapOf()

    /** Starts all processes and publishes the configuration with the operator program. */
    public fun start() {
        fleet.startLog()
        fleet.startLiveList()
        listOf("a1", "a2", "b1", "b2").forEach { endpoints[it] = fleet.startEndpoint() }
        fleet.setInstanceStates(endpoints.keys.associateWith { "live" })
        listOf("entry-a1", "entry-a2", "entry-b1", "entry-b2").forEach(::startEntry)
        publish()
        fleet.awaitJoined()
    }

    private fun startEntry(name: String) {
        val earlier = fleet.entries.filter { it.process.isAlive }
        fleet.startEntry(name, zoneOf(name), peers = earlier.map { "${it.peerPort}" })
    }

    private fun zoneOf(entry: String): String = entry.substringAfter('-').take(1)

    private fun publish() {
        val instances =
            endpoints.entries.joinToString("\n") { (name, endpoint) ->
                """
                |[[instances]]
                |name = "$name"
                |address = "127.0.0.1:${endpoint.port}"
                |zone = "${name.take(1)}"
                |rack = "rack-${name.take(1)}"
                |worker = "worker-$name"
                |pool = "pricing"
                """.trimMargin()
            }
        val file = folder.resolve("fleet.toml")
        Files.writeString(file, "$TEAMS_AND_POOLS_TOML\n$instances\n")
        check(operator("publish", file.toString()) == 0) { "the operator program could not publish the configuration" }
        check(operator("give-key", TEAM, "--key", KEY) == 0) { "the operator program could not give a key to $TEAM" }
    }

    /** Runs an operator command, prints it with its output and returns its exit status. */
    public fun operator(vararg arguments: String): Int {
        print("          \$ operator ${arguments.joinToString(" ").replace("$folder/", "")}")
        val line = arrayOf(*arguments, "--log", "127.0.0.1:${fleet.logPort}", "--proposer", "demo")
        return runOperator(line) { output -> output.lines().forEach { print("          $it") } }
    }

    /** Sends a request whose task runs for [milliseconds] to [entry], without waiting for the response. */
    public fun sendRequest(entry: FleetEntry, milliseconds: Int, path: String = "/price/crack", key: String = KEY) =
        HttpCalls.sendLater("POST", "${entry.callerUrl}$path?run=$milliseconds", "plate", authorization(key))

    /** Returns the authorization header for [key]. */
    public fun authorization(key: String = KEY): Map<String, String> = mapOf("Authorization" to "Bearer $key")

    /** Returns the entries whose process is running. */
    public fun running(): List<FleetEntry> = fleet.entries.filter { it.process.isAlive }

    override fun close(): Unit = fleet.close()

    public companion object {
        /** Name of the team that sends all requests. */
        public const val TEAM: String = "granito"

        /** API key of the team. */
        public const val KEY: String = "demonstration-key"

        /** Upper limit of the team, in tasks that run at once; also stated in the configuration below. */
        public const val UPPER_LIMIT: Int = 8

        private const val TEAMS_AND_POOLS_TOML = """
[[teams]]
name = "granito"
share = 3
upperLimit = 8

[[pools]]
name = "pricing"
service = "price"
slots = 8
taskLeaseMilliseconds = 10000
budget = 1
urgentReserve = 1
"""
    }
}
