package dogwoodgrade.shares

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class QueueTableTest {
    private val open = FreeSlots(normal = 1, urgent = 1)
    private val onlyReserve = FreeSlots(normal = 0, urgent = 1)

    private fun request(
        name: String,
        owner: QueueOwner = team("a"),
        requestClass: RequestClass = RequestClass.Normal,
        arrival: Long = 0,
        deadline: Long = 3_600_000,
    ) = WaitingRequest(RequestIdentifier(name), TEST_POOL, owner, requestClass, at(arrival), at(deadline))

    private fun QueueTable.offerAll(vararg requests: WaitingRequest) =
        requests.forEach { assertEquals(OfferResult.Queued, offer(it, it.arrival)) }

    private fun QueueTable.take(time: Long, free: FreeSlots = open, permit: (TeamName) -> Boolean = { true }) =
        takeNext(TEST_POOL, at(time), free, permit).started?.identifier?.text

    private fun QueueTable.refusalOf(request: WaitingRequest, time: Long) =
        assertIs<OfferResult.Refused>(offer(request, at(time))).refusal

    @Test
    fun `urgent work of a team is taken before its older normal work`() {
        val table = QueueTable()
        table.offerAll(request("n1"), request("u1", requestClass = RequestClass.Urgent))
        assertEquals(listOf("u1", "n1", null), List(3) { table.take(1) })
    }

    @Test
    fun `the reserve is closed to normal work and open to urgent work`() {
        val table = QueueTable()
        table.offerAll(request("n1"))
        assertNull(table.take(1, onlyReserve))
        table.offerAll(request("u1", requestClass = RequestClass.Urgent, arrival = 2))
        assertEquals("u1", table.take(3, onlyReserve))
    }

    @Test
    fun `a team cannot take the whole reserve while another team has a share of it`() {
        val table = QueueTable().apply { configure(mapOf(team("a") to 1.0, team("b") to 1.0)) }
        repeat(4) { table.offerAll(request("a$it", requestClass = RequestClass.Urgent)) }
        val startedRequests = (4 downTo 1).map { free -> table.take(1, FreeSlots(0, free)) }
        assertEquals(listOf("a0", "a1", null, null), startedRequests)
    }

    @Test
    fun `a full queue refuses with a retry time and leaves other queues open`() {
        val table = QueueTable(QueueSettings(queueBound = 1))
        table.offerAll(request("n1"), request("u1", requestClass = RequestClass.Urgent), request("b1", team("b")))
        val refusal = table.refusalOf(request("n2"), 0)
        assertEquals(ResultCode.QueueFull, refusal.code)
        assertTrue(checkNotNull(refusal.retryAfter).isPositive())
    }

    @Test
    fun `a second request with the identifier of a waiting or running one is refused`() {
        val table = QueueTable()
        table.offerAll(request("n1"))
        assertEquals(ResultCode.MalformedRequest, table.refusalOf(request("n1", team("b")), 0).code)
        table.take(1)
        assertEquals(ResultCode.MalformedRequest, table.refusalOf(request("n1", team("b")), 1).code)
    }

    @Test
    fun `a team without a permit is skipped and keeps its place`() {
        val table = QueueTable()
        table.offerAll(request("a1"), request("a2"), request("b1", team("b")))
        assertEquals("b1", table.take(1) { it.text == "b" })
        assertNull(table.take(2) { it.text == "b" })
        assertEquals("a1", table.take(3))
    }

    @Test
    fun `waiting requests of a team without a permit are not reported as lacking a slot`() {
        val table = QueueTable()
        table.offerAll(request("a1"))
        assertEquals(
            1,
            table
                .snapshot(at(0))
                .rows
                .single()
                .waiting,
        )
        table.take(1) { false }
        assertTrue(table.snapshot(at(2)).rows.isEmpty())
    }

    @Test
    fun `the permit function is called without the lock, once per team, and never for open queues`() {
        val table = QueueTable()
        table.offerAll(request("a1"), request("o1", QueueOwner.Open))
        val asked = ArrayList<String>()
        val other = Thread { table.counts() }
        val startedRequests =
            List(2) {
                table.take(1) { team ->
                    asked += team.text
                    // Would block forever if the caller held the lock of the table.
                    other.run { if (state == Thread.State.NEW) start() }
                    other.join()
                    true
                }
            }
        assertEquals(setOf<String?>("a1", "o1"), startedRequests.toSet())
        assertEquals(listOf("a"), asked)
    }

    @Test
    fun `a request that was put back is first again and its slot time does not count`() {
        val table = QueueTable()
        table.offerAll(request("n1"), request("n2"))
        assertEquals("n1", table.take(0))
        assertTrue(table.usage(TEST_POOL, team("a"), at(100)) > 0.09)
        table.requeue(RequestIdentifier("n1"), at(100))
        assertEquals(0.0, table.usage(TEST_POOL, team("a"), at(100)), 1e-9)
        assertEquals(listOf("n1", "n2"), List(2) { table.take(101) })
    }

    @Test
    fun `requests that cannot finish in time are refused according to recent run times only`() {
        val table = QueueTable()
        repeat(10) {
            table.offerAll(request("r$it", arrival = it * 1000L))
            table.take(it * 1000L)
            table.end(RequestIdentifier("r$it"), RunEnd.Completed, at(it * 1000L + 500))
        }
        assertEquals(ResultCode.DeadlineTooShort, table.refusalOf(request("late", deadline = 10_499), 10_000).code)
        table.offerAll(request("waits", arrival = 10_000, deadline = 10_600), request("fits", arrival = 10_000))
        assertEquals(listOf("waits"), table.expire(at(10_101)).map { it.identifier.text })
        assertEquals("fits", table.take(10_102))
        table.offerAll(request("again", arrival = 60_000, deadline = 60_001))
    }

    @Test
    fun `a request that can no longer finish in time is refused at its turn and the next one starts`() {
        val table = QueueTable()
        table.offerAll(request("late", deadline = 5), request("next"))
        val result = table.takeNext(TEST_POOL, at(6), open) { true }
        assertEquals("next", result.started?.identifier?.text)
        assertEquals(listOf(ResultCode.DeadlineTooShort), result.refusals.map { it.code })
        assertTrue(table.expire(at(7)).isEmpty())
    }

    @Test
    fun `a closed table refuses new requests, and a drained one returns those that wait`() {
        val table = QueueTable()
        table.offerAll(request("n1"), request("n2"))
        table.take(1)
        table.close()
        assertEquals(ResultCode.Stopping, table.refusalOf(request("n3"), 2).code)
        assertEquals(listOf("n2"), table.drain(at(3)).map { it.identifier.text })
        assertTrue(table.end(RequestIdentifier("n1"), RunEnd.Completed, at(4)))
    }

    @Test
    fun `demand counts waiting and running requests per team and leaves out open queues`() {
        val table = QueueTable()
        table.offerAll(request("a1"), request("a2"), request("o1", QueueOwner.Open))
        while (table.demand().getValue(TeamName("a")).running == 0) table.take(1)
        assertEquals(mapOf(TeamName("a") to TeamDemand(waiting = 1, running = 1)), table.demand())
        assertEquals(1, table.counts().filter { it.owner == team("a") }.sumOf { it.waiting })
    }

    @Test
    fun `a newly active team shares from its first request on and does not starve the others`() {
        val table = QueueTable()
        repeat(200) { table.offerAll(request("a$it")) }
        // Team a alone uses 10 slots with tasks of 100 ms; then team b arrives.
        val startedRequests = runSlots(table, slots = 10, from = 0, until = 3_000)
        repeat(200) { table.offerAll(request("c$it", arrival = 3_000), request("b$it", team("b"), arrival = 3_000)) }
        val shared = runSlots(table, slots = 10, from = 3_000, until = 4_000)
        assertTrue(startedRequests.all { it.startsWith("a") })
        assertTrue(shared.count { it.startsWith("b") } in 45..55, "starts of b: ${shared.count { it.startsWith("b") }}")
    }

    @Test
    fun `a team with a fifth of a slot is neither starved nor favoured`() {
        val table = QueueTable(QueueSettings(4_000)).apply { configure(mapOf(team("a") to 49.0, team("b") to 1.0)) }
        repeat(4_000) { table.offerAll(request("a$it"), request("b$it", team("b"))) }
        val starts =
            (0L until 40_000 step 1_000).map { time ->
                // The correction of fractions of a slot happens once per gossip interval.
                table.snapshot(at(time))
                runSlots(table, slots = 10, from = time, until = time + 1_000).count { it.startsWith("b") }
            }
        assertTrue(starts.drop(20).sum() in 32..48, "starts of b per second: $starts")
    }

    private fun runSlots(table: QueueTable, slots: Int, from: Long, until: Long): List<String> =
        (from until until step 100).flatMap { time ->
            val startedRequests = (0 until slots).mapNotNull { table.take(time, FreeSlots(slots - it, slots - it)) }
            startedRequests.onEach { table.end(RequestIdentifier(it), RunEnd.Completed, at(time + 100)) }
        }

    @Test
    fun `only newer reports of a peer count, until it is forgotten`() {
        val table = QueueTable()
        val peer = EntryIdentity(EntryName("peer"), 1)

        fun report(sequence: Long, usage: Double) =
            table.report(
                peer,
                UsageSnapshot(sequence, listOf(UsageRow(TEST_POOL, team("a"), usage, 0.0, 0, 0))),
                at(0),
                at(0),
            )
        assertTrue(report(2, 10.0))
        assertTrue(!report(1, 99.0) && !report(2, 99.0))
        assertEquals(10.0, table.usage(TEST_POOL, team("a"), at(0)), 1e-9)
        assertEquals(10.0 / Math.E, table.usage(TEST_POOL, team("a"), at(5_000)), 1e-9)
        assertTrue(report(3, 1.0))
        assertEquals(1.0, table.usage(TEST_POOL, team("a"), at(0)), 1e-9)
        table.forget(peer, at(0))
        assertEquals(0.0, table.usage(TEST_POOL, team("a"), at(0)))
    }

    @Test
    fun `a share that is not positive is refused`() {
        for (share in listOf(0.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY)) {
            assertFailsWith<IllegalArgumentException> { QueueTable().configure(mapOf(team("a") to share)) }
        }
    }
}
