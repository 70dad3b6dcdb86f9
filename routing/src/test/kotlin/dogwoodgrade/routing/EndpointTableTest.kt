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
        val at = TableAtTime(2)
        for (removal in listOf(1, 2, 4, 8, 16, 30, 30)) {
            assertNotNull(at.attempt(0, AttemptResult.ConnectionRefused))
            at.advance(removal - 0.001)
            assertNull(at.attempt(0, ok), "after $removal s")
            at.advance(0.001)
        }
        assertNotNull(at.attempt(0, ok))
        assertEquals(EndpointCondition.Serving, at.conditionOf(0))
    }

    @Test
    fun `connections refused at the same time double the removal only once`() {
        val at = TableAtTime(1)
        val both = listOfNotNull(at.reserve(), at.reserve())
        both.forEach { at.finish(it, AttemptResult.ConnectTimedOut) }
        at.advance(1.0)
        assertNotNull(at.reserve())
        assertEquals(UnavailableReason.AllFull, at.reasonOf(), "one connection at a time until one is accepted")
    }

    @Test
    fun `a hanging endpoint is ejected and keeps its instance from draining until the lease ends`() {
        val at = TableAtTime(3)
        repeat(5) { at.attempt(0, AttemptResult.TimedOut) }
        assertEquals(EndpointCondition.Ejected, at.conditionOf(0))
        val instance = endpoint(0).instance
        assertEquals(DrainState(0, request().leaseUntil), at.table.drainState(instance, at.now))
        assertEquals(mapOf(instance to 1), at.table.ownLoad(at.now))
        assertTrue(at.table.drainState(instance, request().leaseUntil).isDrained)
    }

    @Test
    fun `an endpoint that truncates responses is ejected for longer each time and returns on probation`() {
        val at = TableAtTime(3)
        repeat(5) { at.attempt(0, AttemptResult.Truncated) }
        for (ejection in listOf(5, 10, 20, 40, 60)) {
            assertNull(at.attempt(0, ok))
            at.advance(ejection - 0.001)
            assertEquals(EndpointCondition.Ejected, at.conditionOf(0), "within $ejection s")
            at.advance(0.001)
            assertNotNull(at.attempt(0, AttemptResult.Truncated))
        }
        at.advance(60.0)
        repeat(2) { assertNotNull(at.attempt(0, ok)) }
        val probe = assertNotNull(at.reserve(request(tried = setOf(endpoint(1).instance, endpoint(2).instance))))
        assertNull(at.attempt(0, ok), "a half-open endpoint receives one request at a time")
        at.finish(probe, ok)
        assertEquals(EndpointCondition.Serving, at.conditionOf(0))
    }

    @Test
    fun `an endpoint that responds late is not ejected`() {
        val at = TableAtTime(3)
        repeat(20) {
            val slow = assertNotNull(at.reserve())
            at.advance(9.0)
            at.finish(slow, ok)
        }
        assertTrue(at.table.statusOf(POOL, at.now).all { it.condition == EndpointCondition.Serving })
    }

    @Test
    fun `an endpoint that fails everything at once receives little work although it seems idle`() {
        val at = TableAtTime(4, slots = 8)
        val chosen = mutableMapOf<String, Int>()
        repeat(200) {
            val reservation = assertNotNull(at.reserve())
            val name = reservation.endpoint.instance.text
            chosen.merge(name, 1, Int::plus)
            at.finish(reservation, if (name == "e1") AttemptResult.Complete(500) else ok)
        }
        assertTrue((chosen["e1"] ?: 0) <= MIN_STARTS, "$chosen")
    }

    @Test
    fun `at most half of a pool is ejected when all endpoints but one fail in turn`() {
        val at = TableAtTime(4)
        repeat(10) { at.attempt(3, ok) }
        for (number in 0..2) repeat(10) { at.attempt(number, AttemptResult.FailedBeforeHead) }
        assertNotNull(at.attempt(2, ok), "the third one is not ejected")
        assertEquals(2, at.table.statusOf(POOL, at.now).count { it.condition == EndpointCondition.Ejected })
        at.table.configure(configurationOf(2), at.now)
        val ejected = at.table.statusOf(POOL, at.now).count { it.condition == EndpointCondition.Ejected }
        assertEquals(1, ejected, "a smaller pool has fewer ejections")
    }

    @Test
    fun `an endpoint that leaves during a request receives nothing new, and the request stays counted`() {
        val at = TableAtTime(1)
        val running = assertNotNull(at.reserve())
        val waiting = assertNotNull(at.reserve())
        val instance = running.endpoint.instance
        at.table.observeLive(LiveObservation(emptySet(), setOf(instance)), at.now)
        assertEquals(UnavailableReason.NoneEligible, at.reasonOf())
        assertFalse(at.table.mayStart(waiting), "the check before the first byte sees the change")
        at.table.observeLive(LiveObservation(emptySet(), emptySet()), at.now)
        assertNull(at.reserve(), "missing after leaving is not back")
        at.finish(waiting, AttemptResult.NotSent)
        at.table.configure(EndpointConfiguration(), at.now)
        assertEquals(DrainState(1, null), at.table.drainState(instance, at.now))
        assertTrue(at.finish(running, ok))
        assertFalse(at.finish(running, ok), "a slot is freed once")
        assertTrue(at.table.drainState(instance, at.now).isDrained)
    }

    @Test
    fun `a busy endpoint is full until a request there ends or 100 ms pass`() {
        val at = TableAtTime(1, slots = 4)
        val running = assertNotNull(at.reserve())
        at.finish(assertNotNull(at.reserve()), AttemptResult.Busy)
        assertEquals(UnavailableReason.AllFull, at.reasonOf())
        at.finish(running, ok)
        at.finish(assertNotNull(at.reserve(), "a request there ended"), AttemptResult.Busy)
        at.advance(0.099)
        assertEquals(FreeCapacity(0, 0), at.table.freeCapacity(POOL, 1, at.now))
        at.advance(0.001)
        assertEquals(FreeCapacity(3, 4), at.table.freeCapacity(POOL, 1, at.now))
    }

    @Test
    fun `normal work leaves the urgent reserve and counts the load of peers`() {
        val at = TableAtTime(2)
        val peer = EntryIdentity(EntryName("peer"), 2)
        val normal = request(requestClass = RequestClass.Normal)
        at.table.reportPeerLoad(peer, mapOf(endpoint(0).instance to 2), 0.seconds, at.now)
        at.table.reportPeerLoad(peer.copy(incarnation = 1), emptyMap(), 0.seconds, at.now)
        at.table.reportPeerLoad(peer, emptyMap(), 500.milliseconds, at.now)
        assertEquals(FreeCapacity(1, 2), at.table.freeCapacity(POOL, 1, at.now))
        assertEquals("e1", assertNotNull(at.reserve(normal)).endpoint.instance.text)
        assertEquals(UnavailableReason.ReservedForUrgent, at.reasonOf(normal))
        at.advance(10.0)
        assertEquals(FreeCapacity(2, 3), at.table.freeCapacity(POOL, 1, at.now), "an old report counts no more")
    }

    @Test
    fun `the own zone is preferred while it has free slots, and nothing is tried twice`() {
        val at = TableAtTime(3)
        assertEquals(
            listOf("a", "a"),
            List(2) {
                at
                    .reserve()
                    ?.endpoint
                    ?.zone
                    ?.text
            },
        )
        assertTrue(assertNotNull(at.reserve()).endpoint.zone.text != "a")
        val all = (0..2).map { endpoint(it).instance }.toSet()
        assertEquals(UnavailableReason.AllTried, at.reasonOf(request(tried = all)))
    }

    @Test
    fun `a returned zone receives 10 percent of its usual work at first and all of it after 15 s`() {
        val share = listOf(0, 5, 15).map { age ->
            val table = EndpointTable()
            val returned = mapOf(ZONES[0] to START)
            table.configure(configurationOf(3, slots = 100).copy(zonesReturned = returned), START)
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
        val at = TableAtTime(4)
        val bad = RequestFingerprint("bad")
        for (number in 0..3) repeat(4) { at.attempt(number, ok, RequestFingerprint("good")) }
        for (number in 0..2) assertNotNull(at.attempt(number, AttemptResult.FailedBeforeHead, bad))
        assertEquals(UnavailableReason.PoisonRequest, at.reasonOf(request(fingerprint = bad)))
        for (number in 0..2) repeat(4) { at.attempt(number, AttemptResult.FailedBeforeHead) }
        assertFalse(at.table.statusOf(POOL, at.now).any { it.condition == EndpointCondition.Ejected })
        at.advance(60.0)
        assertNotNull(at.attempt(3, ok, bad), "the verdict ends after 60 s")
    }

    @Test
    fun `an endpoint that fails everything does not make requests poisonous`() {
        val at = TableAtTime(4)
        for (number in 0..3) repeat(4) { at.attempt(number, ok) }
        repeat(9) { at.attempt(0, AttemptResult.FailedBeforeHead, RequestFingerprint("request-$it")) }
        assertEquals(EndpointCondition.Ejected, at.conditionOf(0))
        assertNull(at.reasonOf(request(fingerprint = RequestFingerprint("request-0"))))
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
