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

/**
 * Tests guarantees with real processes that are paused, stopped, killed or cut off.
 *
 * Guards against an entry that acts on stale state after such a fault, and against requests, permits or jobs that are
 * lost because of it.
 */
class GuaranteesUnderFaultsTest {
    @TempDir
    lateinit var folder: Path

    private val fleet by lazy { Fleet(folder) }
    private val zoneA = AvailabilityZone("a")

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `an entry that continues after a pause uses neither a withdrawn key nor a zone out of service`() =
        assertChangesApplyAfterPause(false)

    @Test
    fun `an entry that continues after a pause and reaches only a peer uses neither key nor zone`() =
        assertChangesApplyAfterPause(true)

    /**
     * Withdraws a key and takes a zone out of service while an entry is paused, then lets the entry continue.
     *
     * @param cutLog whether the entry is also cut off from the log and learns of the changes only from its peer
     */
    private fun assertChangesApplyAfterPause(cutLog: Boolean) {
        fleet.startLog()
        val endpoints = List(2) { fleet.startEndpoint(slots = 64) }
        val link = fleet.startLink(fleet.logPort)
        val paused = fleet.startEntry("entry-a1", "a", log = link.port)
        val other = fleet.startEntry("entry-b1", "b", peers = listOf(paused.peerWithZone))
        fleet.awaitJoined()
        fleet.configure(endpoints)
        for (team in listOf("granito", "fraser")) {
            Fleet.awaitTrue("$team is served") { paused.sendRequest(team, 0).join().status == 200 }
        }
        if (cutLog) link.setCut(true)
        paused.process.signal("STOP")
        fleet.publish(WithdrawKey(TeamName("granito"), KeyDigest.of("granito")))
        fleet.awaitOffset(fleet.publish(SetZone(zoneA, false, Version.None)), listOf(other))
        Thread.sleep(PAUSE_DURATION_MILLISECONDS)
        val before = endpoints.map { it.count("started", "granito") } to endpoints[0].count("started", "fraser")
        val withdrawn = List(REQUESTS_PER_TEAM) { paused.sendRequest("granito", 5) }
        val valid = List(REQUESTS_PER_TEAM) { paused.sendRequest("fraser", 5) }
        Thread.sleep(500)
        paused.process.signal("CONT")
        val codes = withdrawn.map { it.join().code() }
        assertEquals(setOf<Int?>(ResultCode.UnknownKey.number), codes.toSet())
        assertEquals(List(REQUESTS_PER_TEAM) { 200 }, valid.map { it.join().status })
        val after = endpoints.map { it.count("started", "granito") } to endpoints[0].count("started", "fraser")
        assertEquals(before, after, "starts with the withdrawn key, and with the valid key in zone a")
    }

    @Test
    fun `a stop by SIGTERM under load aborts no request, returns the permits and removes the entry`() {
        fleet.startLog()
        val endpoint = fleet.startEndpoint(slots = 64)
        val leaving = fleet.startEntry("entry-a1", "a")
        val staying = fleet.startEntry("entry-a2", "a", peers = listOf(leaving.peerWithZone))
        fleet.awaitJoined()
        fleet.configure(listOf(endpoint))
        val early = List(3 * TEAM_UPPER_LIMIT) { leaving.sendRequest("granito", 1_000) }
        Fleet.awaitTrue("requests run") { endpoint.count("running", "granito") > 0 }
        leaving.process.signal("TERM")
        Thread.sleep(300)
        val late = List(3) { leaving.sendRequest("granito", 0) }.map { it.join() }
        assertTrue(late.all { it.code() == ResultCode.Stopping.number && it.executed() == "no" }, "$late")
        val results = early.map { it.join() }
        assertTrue(results.all { it.status == 200 || it.executed() == "no" }, "$results")
        assertEquals(results.count { it.status == 200 }, endpoint.count("started", "granito"))
        // After its shutdown hooks, the JVM exits with 128 plus the signal number of SIGTERM, 15.
        assertEquals(143, leaving.process.awaitExit())
        Fleet.awaitTrue("the permits are returned") {
            val held = staying.permits("granito", "heldHere") ?: 0
            val free = staying.permits("granito", "free") ?: 0
            free + held == TEAM_UPPER_LIMIT && staying.permits("granito", "quarantined") == 0
        }
        val entries = HttpCalls.send("GET", "${staying.operatorUrl}/entries").body
        assertTrue("entry-a1" !in entries, entries)
    }

    @Test
    fun `no task starts on a leaving endpoint or in a zone out of service later than 2 s after the change`() {
        fleet.startLog()
        fleet.startLiveList()
        val endpoints = List(2) { fleet.startEndpoint(slots = 64) }
        fleet.startEntry("entry-a1", "a")
        fleet.startEntry("entry-b1", "b")
        fleet.configure(endpoints)
        fleet.setInstanceStates(mapOf("ia" to "live", "ib" to "live"))
        val end = System.nanoTime() + LOAD_DURATION_NANOSECONDS
        val callers =
            fleet.entries.flatMap { entry -> List(4) { entry } }.map { entry ->
                kotlin.concurrent.thread(isDaemon = true) {
                    while (System.nanoTime() < end) entry.sendRequest("granito", 20).join()
                }
            }
        awaitStarts(endpoints[0])
        fleet.setInstanceStates(mapOf("ia" to "leaving", "ib" to "live"))
        assertNoStartAfter(endpoints[0], System.currentTimeMillis(), "the live list shows it as leaving")
        fleet.setInstanceStates(mapOf("ia" to "live", "ib" to "live"))
        awaitStarts(endpoints[0])
        fleet.awaitOffset(fleet.publish(SetZone(zoneA, false, Version.None)))
        assertNoStartAfter(endpoints[0], System.currentTimeMillis(), "every entry knows its zone is out of service")
        callers.forEach { it.join() }
    }

    private fun awaitStarts(endpoint: FleetEndpoint) {
        val before = endpoint.count("started", "granito")
        Fleet.awaitTrue("a task starts on the endpoint") { endpoint.count("started", "granito") > before }
    }

    private fun assertNoStartAfter(endpoint: FleetEndpoint, changeTime: Long, change: String) {
        Thread.sleep(4_000)
        val delay = endpoint.lastStart() - changeTime
        println("the last start was $delay ms after $change")
        assertTrue(delay <= 2_000, "a task started $delay ms after $change")
    }

    @Test
    fun `an entry that starts late gets dropped records from a peer, also with lost responses and duplicates`() {
        fleet.startLog("--retention", "30")
        val endpoint = fleet.startEndpoint()
        val first = fleet.startEntry("entry-a1", "a")
        fleet.configure(listOf(endpoint))
        fleet.setLogFaults("""{"duplicate":3}""")
        repeat(20) {
            fleet.publish(GiveKey(TeamName("granito"), KeyDigest.of("key $it")))
            fleet.awaitOffset(fleet.publish(WithdrawKey(TeamName("granito"), KeyDigest.of("key $it"))))
        }
        fleet.setLogFaults("""{"loseAnswers":2,"duplicate":2}""")
        val late = fleet.startEntry("entry-a2", "a", peers = listOf(first.peerWithZone))
        fleet.awaitJoined()
        fleet.awaitOffset(fleet.publish(GiveKey(TeamName("granito"), KeyDigest.of("last"))))
        Fleet.awaitTrue("both have the same state") { late.state()["digest"] == first.state()["digest"] }
        fleet.setLogFaults("""{"outage":true}""")
        Fleet.awaitTrue("the late entry serves during the outage") { late.sendRequest("last", 0).join().status == 200 }
        assertEquals(ResultCode.UnknownKey.number, late.sendRequest("key 3", 0).join().code())
    }

    @Test
    fun `a job whose entry is killed runs again if it is idempotent and is otherwise reported as outcome unknown`() {
        fleet.startLog()
        val endpoint = fleet.startEndpoint()
        val killed = fleet.startEntry("entry-a1", "a")
        fleet.configure(listOf(endpoint), leaseSeconds = 3)
        val key = mapOf("Authorization" to "Bearer granito")
        val jobs =
            listOf(key + ("Idempotency-Key" to "i"), key).map { headers ->
                val response = HttpCalls.send("POST", "${killed.callerUrl}/jobs/price/x?run=2000", "", headers)
                assertEquals(202, response.status, response.body)
                response.json
                    .getValue("job")
                    .jsonPrimitive.content
            }
        Fleet.awaitTrue("both jobs run") { endpoint.count("running", "granito") == 2 }
        killed.process.signal("KILL")
        val other = fleet.startEntry("entry-a2", "a", peers = listOf(killed.peerWithZone))
        for ((job, expected) in jobs.zip(listOf("finished", "outcome-unknown"))) {
            Fleet.awaitTrue("job is $expected") {
                val response = HttpCalls.send("GET", "${other.callerUrl}/jobs/$job", "", key)
                response.json["status"]?.jsonPrimitive?.content == expected
            }
        }
        assertEquals(3, endpoint.count("started", "granito"), "${endpoint.statistics()["repeated"]?.jsonObject}")
    }

    private companion object {
        const val PAUSE_DURATION_MILLISECONDS = 10_000L
        const val REQUESTS_PER_TEAM = 8
        const val LOAD_DURATION_NANOSECONDS = 16_000_000_000L
    }
}
