package dogwoodgrade.scenarios

import dogwoodgrade.codec.RecordCodec
import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlRecord
import dogwoodgrade.model.RecordIdentifier
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

/**
 * A running entry with its addresses.
 *
 * @property name name of the entry
 * @property zone availability zone of the entry
 * @property process process of the entry
 * @property peerPort port for other entries
 */
public class FleetEntry(
    public val name: String,
    public val zone: String,
    public val process: ProgramProcess,
    public val peerPort: Int,
    private val callerPort: Int,
    private val operatorPort: Int,
) {
    /** Port for other entries with the zone, as the entries that start later state it. */
    public val peerWithZone: String get() = "$peerPort@$zone"

    /** Base URL of the port for callers. */
    public val callerUrl: String get() = "http://127.0.0.1:$callerPort"

    /** Base URL of the port for operators. */
    public val operatorUrl: String get() = "http://127.0.0.1:$operatorPort"

    /** Address of the port for operators, as `host:port`. */
    public val operatorAddress: String get() = "127.0.0.1:$operatorPort"

    /** Returns the state that the entry reports to operators, or an empty object if it does not respond. */
    public fun state(): JsonObject = HttpCalls.send("GET", "$operatorUrl/state").json
}

/**
 * A link stand-in between a zone and one target, which can simulate a network partition.
 *
 * @property port port that accepts the connections to forward
 */
public class FleetLink(public val port: Int, private val controlPort: Int, private val process: ProgramProcess) {
    /** Cuts the link if [cut] is true, otherwise restores it. */
    public fun setCut(cut: Boolean) {
        HttpCalls.send("POST", "http://127.0.0.1:$controlPort/control", """{"cut":$cut}""")
    }

    internal fun close(): Unit = process.close()
}

/**
 * A running endpoint stand-in.
 *
 * @property port port for requests, statistics and control
 * @property process process of the stand-in
 */
public class FleetEndpoint(public val port: Int, public val process: ProgramProcess) {
    private val base = "http://127.0.0.1:$port"

    /** Returns the statistics that the endpoint itself keeps of its tasks. */
    public fun statistics(): JsonObject = HttpCalls.send("GET", "$base/statistics").json

    /** Sets the fault of the endpoint: `none`, `fail`, `hang`, `cut` or `close`. */
    public fun setFault(fault: String) {
        HttpCalls.send("POST", "$base/control", """{"fault":"$fault"}""")
    }
}

/**
 * Runs stand-ins and entries as processes on one machine, for the demonstration and for tests with real processes.
 *
 * Every process listens on the loopback address, on a port that the operating system assigns and that the process
 * reports: a port that is looked for beforehand can be taken by another process. [close] ends all processes.
 *
 * @param folder directory of the settings files and the logs
 * @param entryOptions JVM options of the entries
 */
public class Fleet(
    private val folder: Path,
    private val entryOptions: List<String> = ProgramProcess.DEFAULT_JVM_OPTIONS,
) : AutoCloseable {
    private val processes = mutableListOf<ProgramProcess>()
    private val links = mutableListOf<FleetLink>()

    /** Entries in the order in which they were started, including those that have ended. */
    public val entries: MutableList<FleetEntry> = mutableListOf()

    /** Port of the log service. */
    public var logPort: Int = 0
        private set

    /** Port of the live list, or 0 if none was started. */
    public var liveListPort: Int = 0
        private set

    /** Starts the log service stand-in with the command-line [options]. */
    public fun startLog(vararg options: String) {
        logPort = portOf(startStandIn("log-service", "log-service", *options))
    }

    /** Starts the live list stand-in, which shows a change after [lagMilliseconds]. */
    public fun startLiveList(lagMilliseconds: Int = 0) {
        liveListPort = portOf(startStandIn("live-list", "live-list", "--lag", "$lagMilliseconds"))
    }

    /** Starts an endpoint stand-in that runs up to [slots] tasks at once. */
    public fun startEndpoint(slots: Int = 8): FleetEndpoint {
        val process = startStandIn("endpoint", "endpoint", "--slots", "$slots")
        return FleetEndpoint(portOf(process), process)
    }

    /** Starts a link stand-in that forwards connections to [targetPort]. */
    public fun startLink(targetPort: Int): FleetLink {
        val process = startStandIn("link", "link", "--target", "127.0.0.1:$targetPort")
        return FleetLink(portOf(process), namedPorts(process).getValue("control"), process).also(links::add)
    }

    /**
     * Starts an entry and waits until it listens. Entries that started earlier learn of it from its gossip.
     *
     * @param log port of the log service, or of a link to it
     * @param peers peer ports of entries that started earlier, as `port` or with their zone as `port@zone`
     * @param limits content of the table `limits` in the settings file
     */
    public fun startEntry(
        name: String,
        zone: String,
        log: Int = logPort,
        peers: List<String> = emptyList(),
        limits: String = "",
    ): FleetEntry {
        val settings = folder.resolve("$name-${UUID.randomUUID()}.toml")
        Files.writeString(settings, settingsText(name, zone, log, peers, limits))
        val process =
            ProgramProcess.start(
                name,
                "dogwoodgrade.entry.MainKt",
                listOf("--settings", settings.toString()),
                folder.resolve("$name.log"),
                options = entryOptions,
            )
        processes += process
        val ports = namedPorts(process)
        return FleetEntry(
            name,
            zone,
            process,
            ports.getValue("peer"),
            ports.getValue("caller"),
            ports.getValue("operator"),
        ).also(entries::add)
    }

    private fun settingsText(
        name: String,
        zone: String,
        log: Int,
        peers: List<String>,
        limits: String,
    ): String {
        val addresses = peers.joinToString(", ") { "\"127.0.0.1:$it\"" }
        val liveList = if (liveListPort == 0) "" else "liveList = \"127.0.0.1:$liveListPort\""
        return """
            |[entry]
            |name = "$name"
            |zone = "$zone"
            |
            |[listen]
            |host = "127.0.0.1"
            |callerPort = 0
            |peerPort = 0
            |operatorPort = 0
            |
            |[platform]
            |log = "127.0.0.1:$log"
            |$liveList
            |
            |[peers]
            |addresses = [$addresses]
            |
            |[limits]
            |$limits
            |
            """.trimMargin()
    }

    /** Appends a change to the control stream and returns its offset. */
    public fun publish(change: ConfigurationChange, schemaVersion: Int = 1): Long {
        val identifier = RecordIdentifier(UUID.randomUUID().toString())
        val record = ControlRecord(identifier, schemaVersion, "fleet", ControlBody.Configure(change))
        val text = RecordCodec.encode(record).decodeToString()
        // If the response is lost, the same record is appended again; the fold ignores the duplicate.
        repeat(MAX_PUBLISH_ATTEMPTS) {
            val response = HttpCalls.send("POST", "http://127.0.0.1:$logPort/streams/control/records", text)
            response.json["offset"]?.let { return it.jsonPrimitive.long }
        }
        error("the log service returned no offset in $MAX_PUBLISH_ATTEMPTS attempts")
    }

    /** Sets the faults of the log service stand-in; [faults] is the JSON object of its control request. */
    public fun setLogFaults(faults: String) {
        HttpCalls.send("POST", "http://127.0.0.1:$logPort/control", faults)
    }

    /** Sets the states of instances in the live list, by instance name: `live`, `leaving` or `gone`. */
    public fun setInstanceStates(states: Map<String, String>) {
        val text = states.entries.joinToString(",") { (name, state) -> "\"$name\":\"$state\"" }
        HttpCalls.send("POST", "http://127.0.0.1:$liveListPort/control", """{"instances":{$text}}""")
    }

    /** Waits until the entries in [awaited], by default all running ones, have folded the record at [offset]. */
    public fun awaitOffset(offset: Long, awaited: List<FleetEntry> = entries.filter { it.process.isAlive }) {
        awaitTrue("offset $offset at ${awaited.map { it.name }}") {
            awaited.all { (it.state()["offset"]?.jsonPrimitive?.long ?: 0) > offset }
        }
    }

    /** Waits until every running entry has joined and lists all others as alive. */
    public fun awaitJoined() {
        val running = entries.filter { it.process.isAlive }
        awaitTrue("all entries joined") {
            running.all { entry ->
                val rows = HttpCalls
                    .send("GET", "${entry.operatorUrl}/entries")
                    .json["entries"]
                    ?.jsonArray
                    .orEmpty()
                val alive = rows.count { it.jsonObject["liveness"]?.jsonPrimitive?.content in setOf("self", "alive") }
                alive == running.size
            }
        }
    }

    override fun close() {
        processes.forEach { it.close() }
        links.forEach { it.close() }
    }

    private fun startStandIn(name: String, vararg arguments: String): ProgramProcess =
        ProgramProcess
            .start(name, "dogwoodgrade.standins.MainKt", arguments.toList(), folder.resolve("$name.log"))
            .also(processes::add)

    private fun namedPorts(process: ProgramProcess): Map<String, Int> =
        Regex("""(\w+)=(\d+)""").findAll(process.awaitListening()).associate {
            it.groupValues[1] to it.groupValues[2].toInt()
        }

    private fun portOf(process: ProgramProcess): Int = process.awaitListening().substringAfterLast(' ').toInt()

    public companion object {
        private const val AWAIT_TIMEOUT_SECONDS = 60
        private const val MAX_PUBLISH_ATTEMPTS = 5
        private const val POLL_INTERVAL_MILLISECONDS = 50L

        /**
         * Waits until [condition] holds and fails after [timeoutSeconds].
         *
         * The default timeout is generous: it only keeps a hanging test from running forever.
         */
        public fun awaitTrue(
            description: String,
            timeoutSeconds: Int = AWAIT_TIMEOUT_SECONDS,
            condition: () -> Boolean,
        ) {
            val deadline = System.nanoTime() + timeoutSeconds * 1_000_000_000L
            while (!condition()) {
                check(System.nanoTime() < deadline) { "condition not met within $timeoutSeconds s: $description" }
                Thread.sleep(POLL_INTERVAL_MILLISECONDS)
            }
        }
    }
}
