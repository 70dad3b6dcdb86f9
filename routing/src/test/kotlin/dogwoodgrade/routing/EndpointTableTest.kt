package dogwoodgrade.routing

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.RequestClass
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointTableTest {
    private val ok = AttemptResult.Complete(200)

    @Test
    fun `an endpoint that refuses connections is removed for 1 s, then 2 s, at most 30 s`() {
        val fixture = TableFixture(2)
        for (removal in listOf(1, 2, 4, 8, 16, 30, 30)) {
            assertNotNull(fixture.attempt(0, AttemptResult.ConnectionRefused))
            fixture.advance(removal - 0.001)
            assertNull(fixture.attempt(0, ok), "after $removal s")
            fixture.advance(0.001)
        }
        assertNotNull(fixture.attempt(0, ok))
        assertEquals(EndpointCondition.Serving, fixture.conditionOf(0))
    }

    @Test
    fun `connections refused at the same time double the removal only once`() {
        val fixture = TableFixture(1)
        val both = listOfNotNull(fixture.reserve(), fixture.reserve())
        both.forEach { fixture.finish(it, AttemptResult.ConnectTimedOut) }
        fixture.advance(1.0)
        assertNotNull(fixture.reserve())
        assertEquals(UnavailableReason.AllFull, fixture.reasonOf(), "one connection at a time until one is accepted")
    }

    @Test
    fun `an endpoint that does not respond is ejected, and its instance is not drained until the task lease ends`() {
        val fixture = TableFixture(3)
        repeat(5) { fixture.attempt(0, AttemptResult.TimedOut) }
        assertEquals(EndpointCondition.Ejected, fixture.conditionOf(0))
        val instance = endpoint(0).instance
        assertEquals(DrainState(0, request().leaseUntil), fixture.table.drainState(instance, fixture.now))
        assertEquals(mapOf(instance to 1), fixture.table.ownLoad(fixture.now))
        assertTrue(fixture.table.drainState(instance, request().leaseUntil).isDrained)
    }

    @Test
    fun `an endpoint that truncates responses is ejected for longer each time and returns on probation`() {
        val fixture = TableFixture(3)
        repeat(5) { fixture.attempt(0, AttemptResult.Truncated) }
        for (ejection in listOf(5, 10, 20, 40, 60)) {
            assertNull(fixture.attempt(0, ok))
            fixture.advance(ejection - 0.001)
            assertEquals(EndpointCondition.Ejected, fixture.conditionOf(0), "within $ejection s")
            fixture.advance(0.001)
            assertNotNull(fixture.attempt(0, AttemptResult.Truncated))
        }
        fixture.advance(60.0)
        repeat(2) { assertNotNull(fixture.attempt(0, ok)) }
        val probe = assertNotNull(fixture.reserve(request(tried = setOf(endpoint(1).instance, endpoint(2).instance))))
        assertNull(fixture.attempt(0, ok), "a half-open endpoint receives one request at a time")
        fixture.finish(probe, ok)
        assertEquals(EndpointCondition.Serving, fixture.conditionOf(0))
    }

    @Test
    fun `an endpoint that responds late is not ejected`() {
        val fixture = TableFixture(3)
        repeat(20) {
            val slow = assertNotNull(fixture.reserve())
            fixture.advance(9.0)
            fixture.finish(slow, ok)
        }
        assertTrue(fixture.table.statusOf(POOL, fixture.now).all { it.condition == EndpointCondition.Serving })
    }

    @Test
    fun `an endpoint that fails every request immediately receives little work although it seems idle`() {
        val fixture = TableFixture(4, slots = 8)
        val chosen = mutableMapOf<String, Int>()
        repeat(200) {
            val reservation = assertNotNull(fixture.reserve())
            val name = reservation.endpoint.instance.text
            chosen.merge(name, 1, Int::plus)
            fixture.finish(reservation, if (name == "e1") AttemptResult.Complete(500) else ok)
        }
        assertTrue((chosen["e1"] ?: 0) <= MIN_STARTS, "$chosen")
    }

    @Test
    fun `at most half of a pool is ejected when all endpoints but one fail in turn`() {
        val fixture = TableFixture(4)
        repeat(10) { fixture.attempt(3, ok) }
        for (number in 0..2) repeat(10) { fixture.attempt(number, AttemptResult.FailedBeforeHead) }
        assertNotNull(fixture.attempt(2, ok), "the third one is not ejected")
        assertEquals(2, fixture.table.statusOf(POOL, fixture.now).count { it.condition == EndpointCondition.Ejected })
        fixture.table.configure(configurationOf(2), fixture.now)
        val ejected = fixture.table.statusOf(POOL, fixture.now).count { it.condition == EndpointCondition.Ejected }
        assertEquals(1, ejected, "a smaller pool has fewer ejections")
    }

    @Test
    fun `an endpoint that leaves during a request receives no new one, and the request still counts`() {
        val fixture = TableFixture(1)
        val running = assertNotNull(fixture.reserve())
        val waiting = assertNotNull(fixture.reserve())
        val instance = running.endpoint.instance
        fixture.table.observeLive(LiveObservation(emptySet(), setOf(instance)), fixture.now)
        assertEquals(UnavailableReason.NoneEligible, fixture.reasonOf())
        assertFalse(fixture.table.mayStart(waiting), "the check before the first byte sees the change")
        fixture.table.observeLive(LiveObservation(emptySet(), emptySet()), fixture.now)
        assertNull(fixture.reserve(), "missing after leaving is not back")
        fixture.finish(waiting, AttemptResult.NotSent)
        fixture.table.configure(EndpointConfiguration(), fixture.now)
        assertEquals(DrainState(1, null), fixture.table.drainState(instance, fixture.now))
        assertTrue(fixture.finish(running, ok))
        assertFalse(fixture.finish(running, ok), "a slot is freed once")
        assertTrue(fixture.table.drainState(instance, fixture.now).isDrained)
    }

    @Test
    fun `a busy endpoint is full until a request there ends or 100 ms pass`() {
        val fixture = TableFixture(1, slots = 4)
        val running = assertNotNull(fixture.reserve())
        fixture.finish(assertNotNull(fixture.reserve()), AttemptResult.Busy)
        assertEquals(UnavailableReason.AllFull, fixture.reasonOf())
        fixture.finish(running, ok)
        fixture.finish(assertNotNull(fixture.reserve(), "a request there ended"), AttemptResult.Busy)
        fixture.advance(0.099)
        assertEquals(FreeCapacity(0, 0), fixture.table.freeCapacity(POOL, 1, fixture.now))
        fixture.advance(0.001)
        assertEquals(FreeCapacity(3, 4), fixture.table.freeCapacity(POOL, 1, fixture.now))
    }

    @Test
    fun `normal work leaves the urgent reserve and counts the load of peers`() {
        val fixture = TableFixture(2)
        val peer = EntryIdentity(EntryName("peer"), 2)
        val normal = request(requestClass = RequestClass.Normal)
        fixture.table.reportPeerLoad(peer, mapOf(endpoint(0).instance to 2), 0.seconds, fixture.now)
        fixture.table.reportPeerLoad(peer.copy(incarnation = 1), emptyMap(), 0.seconds, fixture.now)
        fixture.table.reportPeerLoad(peer, emptyMap(), 500.milliseconds, fixture.now)
        assertEquals(FreeCapacity(1, 2), fixture.table.freeCapacity(POOL, 1, fixture.now))
        assertEquals("e1", assertNotNull(fixture.reserve(normal)).endpoint.instance.text)
        assertEquals(UnavailableReason.ReservedForUrgent, fixture.reasonOf(normal))
        fixture.advance(10.0)
        assertEquals(FreeCapacity(2, 3), fixture.table.freeCapacity(POOL, 1, fixture.now), "old reports do not count")
    }

    @Test
    fun `the own zone is preferred while it has free slots, and nothing is tried twice`() {
        val fixture = TableFixture(3)
        assertEquals(
            listOf("a", "a"),
            List(2) {
                fixture
                    .reserve()
                    ?.endpoint
                    ?.zone
                    ?.text
            },
        )
        assertTrue(assertNotNull(fixture.reserve()).endpoint.zone.text != "a")
        val all = (0..2).map { endpoint(it).instance }.toSet()
        assertEquals(UnavailableReason.AllTried, fixture.reasonOf(request(tried = all)))
    }

    @Test
    fun `a returned zone receives 10 percent of its usual work at first and all of it after 15 s`() {
        val share = listOf(0, 5, 15).map { age ->
            val table = EndpointTable()
            val returned = mapOf(ZONES[0] to START)
            table.configure(configurationOf(3, slots = 100).copy(zonesReturnedAt = returned), START)
            val random = Random(5)
            (1..1000).count {
                val result = table.reserve(request(), START + age.seconds, random) as ReservationResult.Reserved
                table.finish(result.reservation, ok, START + age.seconds)
                result.reservation.endpoint.zone == ZONES[0]
            }
        }
        assertTrue(share[0] in 70..130 && share[1] in 350..450 && share[2] == 1000, "$share")
    }

    @Test
    fun `a request that fails on three healthy endpoints is refused, and its failures do not count against them`() {
        val fixture = TableFixture(4)
        val bad = RequestFingerprint("bad")
        for (number in 0..3) repeat(4) { fixture.attempt(number, ok, RequestFingerprint("good")) }
        for (number in 0..2) assertNotNull(fixture.attempt(number, AttemptResult.FailedBeforeHead, bad))
        assertEquals(UnavailableReason.PoisonRequest, fixture.reasonOf(request(fingerprint = bad)))
        for (number in 0..2) repeat(4) { fixture.attempt(number, AttemptResult.FailedBeforeHead) }
        assertFalse(fixture.table.statusOf(POOL, fixture.now).any { it.condition == EndpointCondition.Ejected })
        fixture.advance(60.0)
        assertNotNull(fixture.attempt(3, ok, bad), "the request is no longer poisonous after 60 s")
    }

    @Test
    fun `an endpoint that fails every request does not make requests poisonous`() {
        val fixture = TableFixture(4)
        for (number in 0..3) repeat(4) { fixture.attempt(number, ok) }
        repeat(9) { fixture.attempt(0, AttemptResult.FailedBeforeHead, RequestFingerprint("request-$it")) }
        assertEquals(EndpointCondition.Ejected, fixture.conditionOf(0))
        assertNull(fixture.reasonOf(request(fingerprint = RequestFingerprint("request-0"))))
    }

    @Test
    fun `the number of suspected requests is bounded`() {
        val poison = PoisonRequests()
        val places = (0..2).map { SuspectFailure(endpoint(it).instance, START) }
        places.forEach { poison.recordFailure(RequestFingerprint("first"), it) }
        assertTrue(poison.isPoisonous(RequestFingerprint("first"), START))
        repeat(MAX_SUSPECTS) { poison.recordFailure(RequestFingerprint("other-$it"), places[0]) }
        assertFalse(poison.isPoisonous(RequestFingerprint("first"), START))
    }
}
