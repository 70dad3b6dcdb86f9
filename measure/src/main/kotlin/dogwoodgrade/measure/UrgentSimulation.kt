package dogwoodgrade.measure

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.shares.FreeSlots
import dogwoodgrade.shares.OfferResult
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.QueueTable
import dogwoodgrade.shares.RunEnd
import dogwoodgrade.shares.WaitingRequest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** One pool of 56 slots that is full of long normal work of three teams, while one of them sends urgent requests. */
internal class UrgentSimulation(seed: Long, private val reserve: Int, private val urgentPerSecond: Double) {
    private val loop = EventLoop()
    private val random = Random(seed)
    private val pool = PoolName("pool")
    private val queues = List(ENTRIES) { QueueTable() }
    private val owners = List(3) { QueueOwner.Team(TeamName("team-$it")) }
    private var normal = 0
    private var urgent = 0
    private var arrived = 0L

    /** Milliseconds from the arrival to the start of urgent requests. */
    val waits = ArrayList<Long>()

    fun run(seconds: Long): UrgentSimulation {
        queues.forEach { it.configure(owners.associateWith { 1.0 }) }
        for (owner in owners) loop.at(0) { arrive(owner, RequestClass.Normal, 20.0) }
        loop.at(SETTLED) { arrive(owners.first(), RequestClass.Urgent, urgentPerSecond) }
        for (entry in 0 until ENTRIES) {
            loop.every(entry * 7L, 50) { startAll(entry) }
            loop.every(entry * 137L, 1_000) { gossip(entry) }
        }
        loop.runUntil(seconds * 1_000)
        return this
    }

    private fun arrive(owner: QueueOwner, requestClass: RequestClass, perSecond: Double) {
        loop.after(random.exponential(1_000 / perSecond)) { arrive(owner, requestClass, perSecond) }
        val entry = random.nextInt(ENTRIES)
        val identifier = RequestIdentifier("r${arrived++}")
        val request = WaitingRequest(identifier, pool, owner, requestClass, loop.now, loop.now + 60.minutes)
        if (queues[entry].offer(request, loop.now) == OfferResult.Queued) startAll(entry)
    }

    private fun startAll(entry: Int) {
        while (true) {
            val free = SLOTS_OF_POOL - reserve - normal
            val slots = FreeSlots(free, free + reserve - urgent)
            val request = queues[entry].takeNext(pool, loop.now, slots) { true }.started ?: return
            val onReserve = free <= 0
            if (onReserve) urgent++ else normal++
            val isUrgent = request.requestClass == RequestClass.Urgent
            if (isUrgent) waits += (loop.now - request.arrival).inWholeMilliseconds
            loop.after(if (isUrgent) random.nextLong(100, 1_000) else random.nextLong(500, 6_000)) {
                if (onReserve) urgent-- else normal--
                queues[entry].end(request.identifier, RunEnd.Completed, loop.now)
                startAll(entry)
            }
        }
    }

    private fun gossip(entry: Int) {
        val snapshot = queues[entry].snapshot(loop.now)
        val taken = loop.now
        for (peer in (0 until ENTRIES).filter { it != entry }) {
            val delay = random.nextLong(100, 700)
            loop.after(delay) { queues[peer].report(identity(entry), snapshot, taken, taken + delay.milliseconds) }
        }
    }

    private companion object {
        const val ENTRIES = 8
        const val SLOTS_OF_POOL = 56
        const val SETTLED = 10_000L
    }
}
