package dogwoodgrade.scenarios

import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetZone
import dogwoodgrade.configuration.ConfigurationChange.WithdrawKey
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guarantees with real processes that are paused, stopped, killed or cut off. */
class GuaranteesUnderFaultsTest {
    @TempDir
    lateinit var folder: Path

    private val fleet by lazy { Fleet(folder) }
    private val zoneA = AvailabilityZone("a")

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `an entry that continues after a pause uses neither a withdrawn key nor a zone out of service`() = pause(false)

    @Test
    fun `an entry that continues after a pause and reaches only a peer uses neither key nor zone`() = pause(true)

    private fun pause(cutLog: Boolean) {
        fleet.startLog()
        val endpoints = List(2) { fleet.startEndpoint(slots = 64) }
        val link = fleet.startLink(fleet.logPort)
        val ports = List(2) { Fleet.freePort() }
        val paused = fleet.startEntry("entry-a1", "a", ports[0], log = link.port, peers = listOf("${ports[1]}@b"))
        val other = fleet.startEntry("entry-b1", "b", ports[1], peers = listOf("${ports[0]}@a"))
        fleet.awaitJoined()
        fleet.configure(endpoints)
        for (team in listOf("granito", "fraser")) {
            Fleet.awaitTrue("$team is served") { paused.callLater(team, 0).join().status == 200 }
        }
        if (cutLog) link.setCut(true)
        paused.process.signal("STOP")
        fleet.publish(WithdrawKey(TeamName("granito"), KeyDigest.of("granito")))
        fleet.awaitOffset(fleet.publish(SetZone(zoneA, false, Version.None)), listOf(other))
        Thread.sleep(PAUSE_MILLISECONDS)
        val before = endpoints.map { it.count("started", "granito") } to endpoints[0].count("started", "fraser")
        val withdrawn = List(CALLS) { paused.callLater("granito", 5) }
        val valid = List(CALLS) { paused.callLater("fraser", 5) }
        Thread.sleep(500)
        paused.process.signal("CONT")
        val codes = withdrawn.map { it.join().code() }
        assertEquals(setOf<Int?>(ResultCode.UnknownKey.number), codes.toSet())
        assertEquals(List(CALLS) { 200 }, valid.map { it.join().status })
        val after = endpoints.map { it.count("started", "granito") } to endpoints[0].count("started", "fraser")
        assertEquals(before, after, "starts with the withdrawn key, and in zone a")
    }

    @Test
    fun `a stop by SIGTERM under load cuts no request, returns the permits and leaves`() {
        fleet.startLog()
        val endpoint = fleet.startEndpoint(slots = 64)
        val ports = List(2) { Fleet.freePort() }
        val peers = listOf("${ports[0]}@a", "${ports[1]}@a")
        val leaving = fleet.startEntry("entry-a1", "a", ports[0], peers = peers)
        val staying = fleet.startEntry("entry-a2", "a", ports[1], peers = peers)
        fleet.awaitJoined()
        fleet.configure(listOf(endpoint))
        val early = List(3 * LIMIT) { leaving.callLater("granito", 1_000) }
        Fleet.awaitTrue("requests run") { endpoint.count("running", "granito") > 0 }
        leaving.process.signal("TERM")
        Thread.sleep(300)
        val late = List(3) { leaving.callLater("granito", 0) }.map { it.join() }
        assertTrue(late.all { it.code() == ResultCode.Stopping.number && it.executed() == "no" }, "$late")
        val results = early.map { it.join() }
        assertTrue(results.all { it.status == 200 || it.executed() == "no" }, "$results")
        assertEquals(results.count { it.status == 200 }, endpoint.count("started", "granito"))
        // The JVM ends with 128 plus the number of SIGTERM after its shutdown hooks have run.
        assertEquals(143, leaving.process.awaitExit())
        Fleet.awaitTrue("the permits are back") {
            val held = staying.permits("granito", "heldHere") ?: 0
            val free = staying.permits("granito", "free") ?: 0
            free + held == LIMIT && staying.permits("granito", "quarantined") == 0
        }
        val entries = HttpCalls.send("GET", "${staying.operator}/entries").body
        assertTrue("entry-a1" !in entries, entries)
    }

    @Test
    fun `a leaving endpoint and a zone out of service get no start later than 2 s after the change`() {
        fleet.startLog()
        fleet.startLiveList()
        val endpoints = List(2) { fleet.startEndpoint(slots = 64) }
        fleet.startEntry("entry-a1", "a")
        fleet.startEntry("entry-b1", "b")
        fleet.configure(endpoints)
        fleet.setLive(mapOf("ia" to "live", "ib" to "live"))
        val end = System.nanoTime() + LOAD_NANOSECONDS
        val callers =
            fleet.entries.flatMap { entry -> List(4) { entry } }.map { entry ->
                kotlin.concurrent.thread(isDaemon = true) {
                    while (System.nanoTime() < end) entry.callLater("granito", 20).join()
                }
            }
        awaitStarts(endpoints[0])
        fleet.setLive(mapOf("ia" to "leaving", "ib" to "live"))
        assertNoStartAfter(endpoints[0], System.currentTimeMillis(), "the live list shows it as leaving")
        fleet.setLive(mapOf("ia" to "live", "ib" to "live"))
        awaitStarts(endpoints[0])
        fleet.awaitOffset(fleet.publish(SetZone(zoneA, false, Version.None)))
        assertNoStartAfter(endpoints[0], System.currentTimeMillis(), "every entry knows that its zone is out")
        callers.forEach { it.join() }
    }

    private fun awaitStarts(endpoint: FleetEndpoint) {
        val before = endpoint.count("started", "granito")
        Fleet.awaitTrue("starts on the endpoint") { endpoint.count("started", "granito") > before }
    }

    private fun assertNoStartAfter(endpoint: FleetEndpoint, changed: Long, what: String) {
        Thread.sleep(4_000)
        val delay = endpoint.lastStart() - changed
        println("the last start was $delay ms after $what")
        assertTrue(delay <= 2_000, "a start $delay ms after $what")
    }

    @Test
    fun `an entry that starts late gets dropped records from a peer, also through lost answers and copies`() {
        fleet.startLog("--retention", "30")
        val endpoint = fleet.startEndpoint()
        val port = Fleet.freePort()
        val first = fleet.startEntry("entry-a1", "a", port)
        fleet.configure(listOf(endpoint))
        fleet.setLogFaults("""{"duplicate":3}""")
        repeat(20) {
            fleet.publish(GiveKey(TeamName("granito"), KeyDigest.of("key $it")))
            fleet.awaitOffset(fleet.publish(WithdrawKey(TeamName("granito"), KeyDigest.of("key $it"))))
        }
        fleet.setLogFaults("""{"loseAnswers":2,"duplicate":2}""")
        val late = fleet.startEntry("entry-a2", "a", peers = listOf("$port@a"))
        fleet.awaitJoined()
        fleet.awaitOffset(fleet.publish(GiveKey(TeamName("granito"), KeyDigest.of("last"))))
        Fleet.awaitTrue("both have the same state") { late.state()["digest"] == first.state()["digest"] }
        fleet.setLogFaults("""{"outage":true}""")
        Fleet.awaitTrue("the late entry serves during the outage") { late.callLater("last", 0).join().status == 200 }
        assertEquals(ResultCode.UnknownKey.number, late.callLater("key 3", 0).join().code())
    }

    @Test
    fun `a job whose entry is killed runs again if it is idempotent and else is reported with an unknown outcome`() {
        fleet.startLog()
        val endpoint = fleet.startEndpoint()
        val port = Fleet.freePort()
        val killed = fleet.startEntry("entry-a1", "a", port)
        fleet.configure(listOf(endpoint), leaseSeconds = 3)
        val key = mapOf("Authorization" to "Bearer granito")
        val jobs =
            listOf(key + ("Idempotency-Key" to "i"), key).map { headers ->
                val answer = HttpCalls.send("POST", "${killed.caller}/jobs/price/x?run=2000", "", headers)
                assertEquals(202, answer.status, answer.body)
                answer.json
                    .getValue("job")
                    .jsonPrimitive.content
            }
        Fleet.awaitTrue("both jobs run") { endpoint.count("running", "granito") == 2 }
        killed.process.signal("KILL")
        val other = fleet.startEntry("entry-a2", "a", peers = listOf("$port@a"))
        for ((job, expected) in jobs.zip(listOf("finished", "outcome-unknown"))) {
            Fleet.awaitTrue("job is $expected") {
                val answer = HttpCalls.send("GET", "${other.caller}/jobs/$job", "", key)
                answer.json["status"]?.jsonPrimitive?.content == expected
            }
        }
        assertEquals(3, endpoint.count("started", "granito"), "${endpoint.statistics()["repeated"]?.jsonObject}")
    }

    private companion object {
        const val PAUSE_MILLISECONDS = 10_000L
        const val CALLS = 8
        const val LOAD_NANOSECONDS = 16_000_000_000L
    }
}
