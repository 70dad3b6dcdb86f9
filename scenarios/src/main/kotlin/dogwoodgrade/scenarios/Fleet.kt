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
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

/** Addresses of a running entry. */
public class FleetEntry(
    public val name: String,
    public val zone: String,
    public val process: ProgramProcess,
    private val callerPort: Int,
    private val operatorPort: Int,
) {
    /** Base address for callers. */
    public val caller: String get() = "http://127.0.0.1:$callerPort"

    /** Base address for operators. */
    public val operator: String get() = "http://127.0.0.1:$operatorPort"

    /** Address for operators, as `host:port`. */
    public val operatorAddress: String get() = "127.0.0.1:$operatorPort"

    /** Returns the state that the entry shows to operators; empty if it does not answer. */
    public fun state(): JsonObject = HttpCalls.send("GET", "$operator/state").json
}

/** A link between one zone and a target that can be cut. */
public class FleetLink(public val port: Int, private val controlPort: Int, private val process: ProgramProcess) {
    /** Cuts or restores the link. */
    public fun setCut(cut: Boolean) {
        HttpCalls.send("POST", "http://127.0.0.1:$controlPort/control", """{"cut":$cut}""")
    }

    internal fun close(): Unit = process.close()
}

/** An endpoint stand-in. */
public class FleetEndpoint(public val port: Int, public val process: ProgramProcess) {
    private val base = "http://127.0.0.1:$port"

    /** Returns the endpoint's own count of what ran. */
    public fun statistics(): JsonObject = HttpCalls.send("GET", "$base/statistics").json

    /** Sets a fault of the endpoint. */
    public fun setFault(fault: String) {
        HttpCalls.send("POST", "$base/control", """{"fault":"$fault"}""")
    }
}

/**
 * Stand-ins and entries as processes on one machine, for the demonstration and for tests with real processes.
 *
 * Every process listens on the loopback address with a port that was free when it started. [close] ends all of them.
 *
 * @param entryOptions options of the virtual machine of the entries
 */
public class Fleet(
    private val folder: Path,
    private val entryOptions: List<String> = ProgramProcess.DefaultOptions,
) : AutoCloseable {
    private val processes = mutableListOf<ProgramProcess>()
    private val links = mutableListOf<FleetLink>()

    /** Entries that were started, in order. */
    public val entries: MutableList<FleetEntry> = mutableListOf()

    /** Port of the log service. */
    public var logPort: Int = 0
        private set

    /** Port of the live list, or 0 if none was started. */
    public var liveListPort: Int = 0
        private set

    /** Starts the log service. */
    public fun startLog(vararg options: String) {
        logPort = portOf(startStandIn("log-service", "log-service", *options))
    }

    /** Starts the live list. */
    public fun startLiveList(lagMilliseconds: Int = 0) {
        liveListPort = portOf(startStandIn("live-list", "live-list", "--lag", "$lagMilliseconds"))
    }

    /** Starts an endpoint. */
    public fun startEndpoint(slots: Int = 8): FleetEndpoint {
        val process = startStandIn("endpoint", "endpoint", "--slots", "$slots")
        return FleetEndpoint(portOf(process), process)
    }

    /** Starts a link that forwards to [targetPort]. */
    public fun startLink(targetPort: Int): FleetLink {
        val control = freePort()
        val process = startStandIn("link", "link", "--target", "127.0.0.1:$targetPort", "--control", "$control")
        return FleetLink(portOf(process), control, process).also(links::add)
    }

    /**
     * Starts an entry.
     *
     * @param log port of the log service, or of a link to it
     * @param peers peer ports with their zones, as `port@zone`
     */
    public fun startEntry(
        name: String,
        zone: String,
        peerPort: Int = freePort(),
        log: Int = logPort,
        peers: List<String> = emptyList(),
        limits: String = "",
    ): FleetEntry {
        val settings = folder.resolve("$name-${UUID.randomUUID()}.toml")
        Files.writeString(settings, settingsText(name, zone, peerPort, log, peers, limits))
        val process =
            ProgramProcess.start(
                name,
                "dogwoodgrade.entry.MainKt",
                listOf("--settings", settings.toString()),
                folder.resolve("$name.log"),
                options = entryOptions,
            )
        processes += process
        val ports = Regex("""(\w+)=(\d+)""").findAll(process.awaitListening()).associate {
            it.groupValues[1] to
                it.groupValues[2].toInt()
        }
        return FleetEntry(name, zone, process, ports.getValue("caller"), ports.getValue("operator")).also(entries::add)
    }

    private fun settingsText(
        name: String,
        zone: String,
        peerPort: Int,
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
            |peerPort = $peerPort
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
        // After a lost answer the same record is appended again; the fold drops the copy.
        repeat(PUBLISH_ATTEMPTS) {
            val answer = HttpCalls.send("POST", "http://127.0.0.1:$logPort/streams/control/records", text)
            answer.json["offset"]?.let { return it.jsonPrimitive.long }
        }
        error("the log service gave no offset in $PUBLISH_ATTEMPTS attempts")
    }

    /** Sets faults of the log service, see the stand-in. */
    public fun setLogFaults(faults: String) {
        HttpCalls.send("POST", "http://127.0.0.1:$logPort/control", faults)
    }

    /** Sets states of instances in the live list. */
    public fun setLive(states: Map<String, String>) {
        val text = states.entries.joinToString(",") { (name, state) -> "\"$name\":\"$state\"" }
        HttpCalls.send("POST", "http://127.0.0.1:$liveListPort/control", """{"instances":{$text}}""")
    }

    /** Waits until the entries (all that run, if none are named) have folded the record at [offset]. */
    public fun awaitOffset(offset: Long, waiting: List<FleetEntry> = entries.filter { it.process.isAlive }) {
        awaitTrue("offset $offset at ${waiting.map { it.name }}") {
            waiting.all { (it.state()["offset"]?.jsonPrimitive?.long ?: 0) > offset }
        }
    }

    /** Waits until every running entry has joined and knows all others as alive. */
    public fun awaitJoined() {
        val running = entries.filter { it.process.isAlive }
        awaitTrue("all entries joined") {
            running.all { entry ->
                val rows = HttpCalls
                    .send("GET", "${entry.operator}/entries")
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

    private fun portOf(process: ProgramProcess): Int = process.awaitListening().substringAfterLast(' ').toInt()

    public companion object {
        private const val AWAIT_SECONDS = 60
        private const val PUBLISH_ATTEMPTS = 5
        private const val POLL_MILLISECONDS = 50L

        /** Returns a port that is free now. */
        public fun freePort(): Int = ServerSocket(0).use { it.localPort }

        /** Waits until [condition] holds; a generous limit only keeps a hanging test from running for ever. */
        public fun awaitTrue(what: String, seconds: Int = AWAIT_SECONDS, condition: () -> Boolean) {
            val end = System.nanoTime() + seconds * 1_000_000_000L
            while (!condition()) {
                check(System.nanoTime() < end) { "waited for $seconds s: $what" }
                Thread.sleep(POLL_MILLISECONDS)
            }
        }
    }
}
