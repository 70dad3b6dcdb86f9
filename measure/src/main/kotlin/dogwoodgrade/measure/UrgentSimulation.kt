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

/** Simulates one pool of 56 slots, filled with long normal work of three teams, one of which sends urgent requests. */
internal class UrgentSimulation(seed: Long, private val reserve: Int, private val urgentPerSecond: Double) {
    private val loop = EventLoop()
    private val random = Random(seed)
    private val pool = PoolName("pool")
    private val queues = List(ENTRY_COUNT) { QueueTable() }
    private val owners = List(3) { QueueOwner.Team(TeamName("team-$it")) }
    private var normalSlotsInUse = 0
    private var reserveSlotsInUse = 0
    private var arrivalCount = 0L

    /** Time from the arrival to the start of each urgent request, in milliseconds. */
    val waits = ArrayList<Long>()

    fun run(seconds: Long): UrgentSimulation {
        queues.forEach { it.configure(owners.associateWith { 1.0 }) }
        for (owner in owners) loop.at(0) { arrive(owner, RequestClass.Normal, 20.0) }
        loop.at(FIRST_URGENT_MILLISECONDS) { arrive(owners.first(), RequestClass.Urgent, urgentPerSecond) }
        for (entry in 0 until ENTRY_COUNT) {
            loop.every(entry * 7L, 50) { startAll(entry) }
            loop.every(entry * 137L, 1_000) { gossip(entry) }
        }
        loop.runUntil(seconds * 1_000)
        return this
    }

    private fun arrive(owner: QueueOwner, requestClass: RequestClass, perSecond: Double) {
        loop.after(random.nextExponential(1_000 / perSecond)) { arrive(owner, requestClass, perSecond) }
        val entry = random.nextInt(ENTRY_COUNT)
        val identifier = RequestIdentifier("r${arrivalCount++}")
        val request = WaitingRequest(identifier, pool, owner, requestClass, loop.now, loop.now + 60.minutes)
        if (queues[entry].offer(request, loop.now) == OfferResult.Queued) startAll(entry)
    }

    private fun startAll(entry: Int) {
        while (true) {
            val free = SLOTS_PER_POOL - reserve - normalSlotsInUse
            val slots = FreeSlots(free, free + reserve - reserveSlotsInUse)
            val request = queues[entry].takeNext(pool, loop.now, slots) { true }.started ?: return
            val usesReserve = free <= 0
            if (usesReserve) reserveSlotsInUse++ else normalSlotsInUse++
            val isUrgent = request.requestClass == RequestClass.Urgent
            if (isUrgent) waits += (loop.now - request.arrival).inWholeMilliseconds
            loop.after(if (isUrgent) random.nextLong(100, 1_000) else random.nextLong(500, 6_000)) {
                if (usesReserve) reserveSlotsInUse-- else normalSlotsInUse--
                queues[entry].end(request.identifier, RunEnd.Completed, loop.now)
                startAll(entry)
            }
        }
    }

    private fun gossip(entry: Int) {
        val snapshot = queues[entry].snapshot(loop.now)
        val takenAt = loop.now
        for (peer in (0 until ENTRY_COUNT).filter { it != entry }) {
            val delay = random.nextLong(100, 700)
            loop.after(delay) { queues[peer].report(identity(entry), snapshot, takenAt, takenAt + delay.milliseconds) }
        }
    }

    private companion object {
        const val ENTRY_COUNT = 8
        const val SLOTS_PER_POOL = 56

        /** Time at which urgent requests begin to arrive, when the pool is full of normal work. */
        const val FIRST_URGENT_MILLISECONDS = 10_000L
    }
}
