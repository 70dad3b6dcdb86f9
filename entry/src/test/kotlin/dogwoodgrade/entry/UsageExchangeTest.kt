package dogwoodgrade.entry

import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.Introduction
import dogwoodgrade.membership.LogContact
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.PeerCandidate
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.valueOrNull
import dogwoodgrade.peer.decodeGossip
import dogwoodgrade.peer.encodeGossip
import dogwoodgrade.shares.FreeSlots
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.QueueTable
import dogwoodgrade.shares.RunEnd
import dogwoodgrade.shares.UsageRow
import dogwoodgrade.shares.UsageSnapshot
import dogwoodgrade.shares.WaitingRequest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class UsageExchangeTest {
    private val start = Instant.fromEpochSeconds(1_800_000_000)
    private val pool = PoolName("scans")
    private val contact = LogContact(Offset(1), null)

    private inner class Entry(name: String, port: Int, seed: Int, incarnation: Long = 1) {
        val identity = EntryIdentity(EntryName(name), incarnation)
        val address = PeerAddress("127.0.0.1", port)
        private val seeds = listOf(PeerCandidate(PeerAddress("127.0.0.1", seed), null, false))
        val members = MemberTable(Introduction(identity, AvailabilityZone("a"), address), seeds)
        val queues = QueueTable()
        val exchange = UsageExchange(queues)

        fun tick(now: Instant) = members.tick(now, exchange.entryReport(contact, emptyMap(), emptySet(), now))

        fun applyReports(now: Instant) = exchange.applyReports(members.members(now), now)

        fun ask(peer: Entry, now: Instant) {
            val request = checkNotNull(members.requestTo(now, peer.address))
            val answer = transfer(peer.members.answer(now, transfer(request), contact))
            members.acceptAnswer(now, peer.address, answer)
            applyReports(now)
            peer.applyReports(now)
        }
    }

    private fun transfer(message: GossipMessage): GossipMessage =
        checkNotNull(decodeGossip(encodeGossip(message).toByteArray()).valueOrNull())

    private fun request(number: Int, owner: QueueOwner, now: Instant) =
        WaitingRequest(RequestIdentifier("r$number"), pool, owner, RequestClass.Normal, now, now + 1.hours)

    /** Guards against fields of a row that are lost, swapped or scaled in the conversion to cells and messages. */
    @Test
    fun `random rows survive the conversion to messages and back`() {
        for (seed in 1..50) {
            val random = Random(seed)
            val a = Entry("entry-a", 1, 2)
            val b = Entry("entry-b", 2, 1)
            val owners = List(random.nextInt(6)) { QueueOwner.Team(TeamName("team-$it")) } + QueueOwner.Open
            val rows = owners.map {
                UsageRow(
                    pool,
                    it,
                    0.0,
                    8 * random.nextDouble(),
                    random.nextInt(4),
                    1 shl 4 * random.nextInt(5),
                )
            }
            for (second in 0..30) {
                val now = start + second.seconds
                val sums = rows.map { it.copy(slotTime = 3_600_000L + (it.slots * second * 1_000).toLong()) }
                a.members.tick(now, entryReport(UsageSnapshot(1, sums), contact, emptyMap(), emptySet()))
                b.tick(now)
                a.ask(b, now)
            }
            val read = snapshotOf(b.members.members(start + 30.seconds).single()).rows.associateBy { it.owner }
            assertEquals(owners.toSet(), read.keys)
            for (row in rows) {
                val copy = read.getValue(row.owner)
                assertEquals(row.reserve to row.waiting, copy.reserve to copy.waiting, "seed $seed")
                assertEquals(row.slots, copy.slots, 0.07, "seed $seed") // One unit of 64 ms.
                assertEquals(row.slots * 5 * (1 - kotlin.math.exp(-6.0)), copy.usage, 0.1, "seed $seed")
            }
        }
    }

    /** Guards against usage that is not published, is charged to the wrong owner, or outlives its entry. */
    @Test
    fun `two entries see the usage of each other until one is absent`() {
        val a = Entry("entry-a", 1, 2)
        val b = Entry("entry-b", 2, 1)
        val owners = listOf(QueueOwner.Team(TeamName("archive")), QueueOwner.Open)
        listOf(a, b).forEachIndexed { index, entry ->
            repeat(2 + index) { entry.queues.offer(request(it, owners[index], start), start) }
            repeat(1 + index) { entry.queues.takeNext(pool, start, FreeSlots(8, 8)) { true } }
        }
        for (second in 0..20) {
            val now = start + second.seconds
            a.tick(now)
            b.tick(now)
            a.ask(b, now)
        }
        val now = start + 20.seconds
        for (entry in listOf(a, b)) {
            assertEquals(5.0 * (1 - kotlin.math.exp(-4.0)), entry.queues.usage(pool, owners[0], now), 0.1)
            assertEquals(10.0 * (1 - kotlin.math.exp(-4.0)), entry.queues.usage(pool, owners[1], now), 0.1)
        }
        b.applyReports(now + 10.seconds)
        assertEquals(0.0, b.queues.usage(pool, owners[0], now + 10.seconds), 1e-9)
    }

    /** Guards against usage of an earlier incarnation that is counted in addition to that of the new one. */
    @Test
    fun `the usage of an earlier incarnation is dropped`() {
        val owner = QueueOwner.Team(TeamName("archive"))
        val b = Entry("entry-b", 2, 1)
        val a = Entry("entry-a", 1, 2)
        a.queues.offer(request(1, owner, start), start)
        a.queues.takeNext(pool, start, FreeSlots(8, 8)) { true }
        for (second in 0..5) {
            listOf(a, b).forEach { it.tick(start + second.seconds) }.also {
                a.ask(
                    b,
                    start + second.seconds,
                )
            }
        }
        val restarted = Entry("entry-a", 1, 2, incarnation = 2)
        restarted.tick(start + 6.seconds)
        restarted.ask(b, start + 6.seconds)
        assertEquals(0.0, b.queues.usage(pool, owner, start + 6.seconds), 1e-9)
    }

    /** Guards against a published sum that decreases when a request did not run or an idle owner is removed. */
    @Test
    fun `the slot time of a row never decreases`() {
        val queues = QueueTable()
        var last = 0L
        val random = Random(5)
        var now = start
        for (number in 1..300) {
            queues.offer(request(number, QueueOwner.Open, now), now)
            queues.takeNext(pool, now, FreeSlots(1, 1)) { true }
            now += random.nextLong(100, 2_000).milliseconds
            val time = queues
                .snapshot(now)
                .rows
                .single()
                .slotTime
            assert(time >= last) { "$time after $last" }
            last = time
            queues.end(
                RequestIdentifier("r$number"),
                if (random.nextBoolean()) RunEnd.NotRun else RunEnd.Completed,
                now,
            )
            if (number % 50 == 0) {
                now += 100.seconds
                queues.snapshot(now)
            }
        }
    }
}
