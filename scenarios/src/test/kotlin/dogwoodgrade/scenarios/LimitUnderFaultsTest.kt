package dogwoodgrade.scenarios

import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Tests the upper limit of a team over three zones with two entries each, under a limit of 12.
 *
 * Guards against exceeding the limit, and against permits that stay lost, when one entry is killed, one is paused and
 * one zone is cut off from the log and from the other zones. A single endpoint process runs all tasks, so that its
 * count of running tasks is exact.
 */
class LimitUnderFaultsTest {
    @TempDir
    lateinit var folder: Path

    private val fleet by lazy { Fleet(folder) }
    private val stopped = AtomicBoolean()
    private val answered = AtomicInteger()

    @AfterTest
    fun stop() {
        stopped.set(true)
        fleet.close()
    }

    private fun configure(endpoint: FleetEndpoint) {
        fleet.publish(SetTeam(TeamName("granito"), 1, UPPER_LIMIT, null, Version.None))
        fleet.publish(GiveKey(TeamName("granito"), KeyDigest.of("secret")))
        fleet.publish(SetPool(PoolName("pricing"), ServiceName("price"), 8, 64, 4.seconds, 1, 1, false, Version.None))
        for ((index, zone) in listOf("a", "b", "c").withIndex()) {
            fleet.publish(
                AddInstance(
                    InstanceName("i$index"),
                    "127.0.0.1:${endpoint.port}",
                    AvailabilityZone(zone),
                    RackName("r$index"),
                    WorkerName("w$index"),
                    PoolName("pricing"),
                ),
            )
        }
    }

    private fun startLoad(entry: FleetEntry, seed: Int) {
        repeat(CALLERS_PER_ENTRY) { callerIndex ->
            val random = Random(seed * 100 + callerIndex)
            thread(isDaemon = true) {
                while (!stopped.get()) {
                    val url = "${entry.callerUrl}/price/x?run=${random.nextInt(50, 400)}"
                    val result = HttpCalls.send("POST", url, "", mapOf("Authorization" to "Bearer secret"))
                    if (result.status == 200) answered.incrementAndGet() else Thread.sleep(100)
                }
            }
        }
    }

    private fun teamCount(endpoint: FleetEndpoint, field: String): Int =
        endpoint
            .statistics()[field]
            ?.jsonObject
            ?.get("granito")
            ?.jsonPrimitive
            ?.int ?: 0

    @Test
    fun `the upper limit holds through a kill, a pause and a partition, and is fully usable afterwards`() {
        fleet.startLog()
        val endpoint = fleet.startEndpoint(slots = 64)
        val link = fleet.startLink(fleet.logPort)
        // The entries of zone c do not know the other zones as peers, so cutting their link to the log isolates them.
        val killed = fleet.startEntry("entry-a1", "a")
        val second = fleet.startEntry("entry-a2", "a", peers = listOf(killed.peerWithZone))
        val paused =
            fleet.startEntry("entry-b1", "b", peers = listOf(killed.peerWithZone, second.peerWithZone))
        val peersOfKilled = listOf(second, paused).map { it.peerWithZone }
        fleet.startEntry("entry-b2", "b", peers = peersOfKilled + killed.peerWithZone)
        val firstOfZoneC = fleet.startEntry("entry-c1", "c", log = link.port)
        fleet.startEntry("entry-c2", "c", log = link.port, peers = listOf(firstOfZoneC.peerWithZone))
        configure(endpoint)
        Fleet.awaitTrue("entries have joined") {
            fleet.entries.all { it.state()["joined"]?.jsonPrimitive?.content == "true" }
        }
        fleet.entries.forEachIndexed { index, entry -> startLoad(entry, index) }
        Fleet.awaitTrue("the upper limit is fully used") { teamCount(endpoint, "running") == UPPER_LIMIT }

        link.setCut(true)
        paused.process.signal("STOP")
        killed.process.signal("KILL")
        val answeredBefore = answered.get()
        Thread.sleep(FAULT_DURATION_MILLISECONDS)
        assertTrue(answered.get() > answeredBefore, "no request succeeded during the faults")
        paused.process.signal("CONT")
        link.setCut(false)
        startLoad(fleet.startEntry("entry-a1", "a", peers = peersOfKilled), 7)
        val recoveryStart = System.nanoTime()
        Fleet.awaitTrue("the upper limit is fully used again") { teamCount(endpoint, "running") == UPPER_LIMIT }
        println("the upper limit was fully used ${(System.nanoTime() - recoveryStart) / 1_000_000} ms after the faults")
        assertEquals(UPPER_LIMIT, teamCount(endpoint, "largest"))
    }

    private companion object {
        const val UPPER_LIMIT = 12
        const val CALLERS_PER_ENTRY = 8
        const val FAULT_DURATION_MILLISECONDS = 10_000L
    }
}
