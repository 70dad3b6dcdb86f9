package dogwoodgrade.measure

import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.EndpointConfiguration
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.Reservation
import dogwoodgrade.routing.ReservationRequest
import dogwoodgrade.routing.ReservationResult
import dogwoodgrade.shares.FreeSlots
import dogwoodgrade.shares.OfferResult
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.QueueTable
import dogwoodgrade.shares.RunEnd
import dogwoodgrade.shares.WaitingRequest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Entries in front of five pools, in virtual time: queues, endpoint choice and gossip of usage and load. Nothing of a
 * network or a platform is modelled but the delay of gossip (100 to 700 ms, once a second).
 */
internal class ServiceSimulation(private val options: ServiceOptions) {
    private class Work(val request: WaitingRequest, val team: Int, val pool: Int, val runTime: Long)

    private val loop = EventLoop()
    private val arrivals = Random(options.seed)
    private val random = Random(options.seed + 1_000)
    private val queues = List(options.entries) { QueueTable(policy = options.policy) }
    private val endpoints = List(options.entries) { EndpointTable(options.choice()) }
    private val demand get() = options.demand
    private val work = HashMap<RequestIdentifier, Work>()
    private val waiting = HashMap<RequestIdentifier, Int>()
    private val busy = HashMap<InstanceName, Int>()
    private val running = Array(PoolSizes.size) { IntArray(Teams.size) }
    private val slotTime = Array(PoolSizes.size) { DoubleArray(Teams.size) }
    private val waitingCount = Array(PoolSizes.size) { IntArray(Teams.size) }
    private var accountedUntil = 0L
    private var speed = 0.0
    private val failing = InstanceName("instance-0-0").takeIf { options.faults }
    private var arrived = 0L

    /** Work done up to each millisecond, in milliseconds of an endpoint slot at full speed. */
    val workAt = HashMap<Long, Double>()
    val samples = ArrayList<ShareSample>()

    /** Starts in the zone later than 2 s after it was taken out of service and before it was brought back. */
    var lateStarts = 0
        private set
    private var workDone = 0.0
    var busyAnswers = 0
        private set
    var starts = 0
        private set

    fun run(): ServiceSimulation {
        val configuration = EndpointConfiguration(serviceEndpoints(options.entries))
        endpoints.forEach { it.configure(configuration, loop.now) }
        queues.forEach { table -> table.configure(Teams.associate { QueueOwner.Team(it.name) to it.share }) }
        for (pool in PoolSizes.indices) for (team in Teams.indices) loop.at(1) { arrive(pool, team) }
        for (entry in 0 until options.entries) {
            loop.every(entry * 7L, 50) { Pools.indices.forEach { startAll(entry, it) } }
            loop.every(entry * 11L, 1_000) { expire(entry) }
            loop.every(entry * 137L, 1_000) { gossip(entry) }
        }
        if (options.faults) loop.every(7_000, 7_000) { cancelWave() }
        options.outage?.let { schedule(it, configuration) }
        loop.every(0, SAMPLE) { sample() }
        loop.runUntil(options.seconds * 1_000)
        return this
    }

    /** Slots in use over all slots, from the first saturated second of a pool on, as a mean over the samples. */
    fun usedWhileFull(): Double {
        val pairs = samples
            .groupBy(ShareSample::pool)
            .values
            .flatMap { it.zipWithNext() }
            .filter { (a, b) -> a.waiting.all { it > 0 } && b.waiting.all { it > 0 } }
        val used = pairs.sumOf { (a, b) -> b.slotTime.sum() - a.slotTime.sum() }
        val offered = pairs.sumOf { (a, _) ->
            (PoolSizes[a.pool] - if (a.pool == 0) 1 else 0) * SLOTS *
                SAMPLE.toDouble()
        }
        return used / offered
    }

    private fun schedule(outage: ZoneOutage, configuration: EndpointConfiguration) {
        for (table in endpoints) {
            loop.at(outage.outAt + random.nextLong(outage.foldMilliseconds)) {
                table.configure(configuration.copy(zonesOut = setOf(Zones[0])), loop.now)
            }
            loop.at(outage.backAt + random.nextLong(outage.foldMilliseconds)) {
                val returned = if (outage.slowStart) mapOf(Zones[0] to instantAt(outage.backAt)) else emptyMap()
                table.configure(configuration.copy(zonesReturned = returned), loop.now)
            }
        }
        for (time in listOf(outage.outAt - 10_000, outage.backAt + 30_000)) {
            loop.at(time) {
                account()
                workAt[time] = workDone
            }
        }
    }

    private fun arrive(pool: Int, team: Int) {
        val profile = Teams[team]
        val part = profile.demand / Teams.sumOf(TeamProfile::demand)
        val perMillisecond = options.load * PoolSizes[pool] * SLOTS * part / profile.runTime
        // Thinning: candidates at the highest rate, of which the part given by the current demand arrives.
        loop.after(arrivals.exponential(1 / (perMillisecond * demand.high))) { arrive(pool, team) }
        val accepted = arrivals.nextDouble() < demand.factor(pool, loop.milliseconds) / demand.high
        val weights = List(options.entries) { if (it % ZONES == profile.home) 3.0 else 1.0 }
        val entry = arrivals.weighted(weights)
        // Actual run times range from a tenth to several times their mean; no size is declared to the queues.
        val runTime = (profile.runTime * (0.1 + 0.9 * arrivals.exponential(1_000.0) / 1_000)).toLong().coerceAtLeast(1)
        if (!accepted) return
        val identifier = RequestIdentifier("r${arrived++}")
        val owner = QueueOwner.Team(profile.name)
        val request = WaitingRequest(
            identifier,
            Pools[pool],
            owner,
            RequestClass.Normal,
            loop.now,
            loop.now + 30.seconds,
        )
        if (queues[entry].offer(request, loop.now) != OfferResult.Queued) return
        work[identifier] = Work(request, team, pool, runTime)
        wait(identifier, entry)
        startAll(entry, pool)
    }

    private fun wait(identifier: RequestIdentifier, entry: Int) {
        val item = work.getValue(identifier)
        waiting[identifier] = entry
        waitingCount[item.pool][item.team]++
    }

    private fun noLongerWaits(identifier: RequestIdentifier): Work {
        val item = work.getValue(identifier)
        if (waiting.remove(identifier) != null) waitingCount[item.pool][item.team]--
        return item
    }

    private fun drop(identifier: RequestIdentifier) {
        noLongerWaits(identifier)
        work.remove(identifier)
    }

    private fun startAll(entry: Int, pool: Int) {
        while (true) {
            val taken = queues[entry].takeNext(Pools[pool], loop.now, freeSlots(entry, pool)) { true }
            taken.refusals.forEach { drop(it.identifier) }
            val request = taken.started ?: return
            val item = noLongerWaits(request.identifier)
            val ask =
                ReservationRequest(Pools[pool], Zones[entry % ZONES], RequestClass.Normal, 0, loop.now + 2.minutes)
            val reserved = endpoints[entry].reserve(ask, loop.now, random) as? ReservationResult.Reserved
            if (reserved == null) {
                putBack(entry, request.identifier)
                return
            }
            send(entry, item, reserved.reservation)
        }
    }

    private fun freeSlots(entry: Int, pool: Int): FreeSlots {
        if (options.exactSlots) {
            val usable = PoolSizes[pool] * SLOTS - if (pool == 0) SLOTS else 0
            return (usable - running[pool].sum()).let { FreeSlots(it, it) }
        }
        val free = endpoints[entry].freeCapacity(Pools[pool], 0, loop.now)
        return FreeSlots(free.normal, free.urgent)
    }

    private fun send(entry: Int, item: Work, reservation: Reservation) {
        val instance = reservation.endpoint.instance
        val identifier = item.request.identifier
        starts++
        when {
            instance == failing -> loop.after(2) {
                endpoints[entry].finish(reservation, AttemptResult.FailedBeforeHead, loop.now)
                queues[entry].end(identifier, RunEnd.Aborted, loop.now)
                work.remove(identifier)
            }
            (busy[instance] ?: 0) >= SLOTS -> loop.after(1) {
                busyAnswers++
                endpoints[entry].finish(reservation, AttemptResult.Busy, loop.now)
                putBack(entry, identifier)
            }
            else -> execute(entry, item, reservation)
        }
    }

    private fun execute(entry: Int, item: Work, reservation: Reservation) {
        val instance = reservation.endpoint.instance
        val taskSpeed = speedOf(reservation)
        account()
        speed += taskSpeed
        busy.merge(instance, 1, Int::plus)
        running[item.pool][item.team]++
        loop.after((item.runTime / taskSpeed).toLong().coerceAtLeast(1)) {
            account()
            speed -= taskSpeed
            busy.merge(instance, -1, Int::plus)
            running[item.pool][item.team]--
            endpoints[entry].finish(reservation, AttemptResult.Complete(200), loop.now)
            queues[entry].end(item.request.identifier, RunEnd.Completed, loop.now)
            work.remove(item.request.identifier)
            startAll(entry, item.pool)
        }
    }

    /** Speed of a task that starts now; it is kept until the task ends. */
    private fun speedOf(reservation: Reservation): Double {
        val outage = options.outage ?: return 1.0
        if (reservation.endpoint.zone != Zones[0]) return 1.0
        if (loop.milliseconds in outage.outAt + 2_001 until outage.backAt) lateStarts++
        val cold = loop.milliseconds in outage.backAt until outage.backAt + outage.coldMilliseconds
        return if (cold) outage.coldSpeed else 1.0
    }

    private fun putBack(entry: Int, identifier: RequestIdentifier) {
        if (queues[entry].putBack(identifier, loop.now) ==
            OfferResult.Queued
        ) {
            wait(identifier, entry)
        } else {
            work.remove(identifier)
        }
    }

    private fun expire(entry: Int) = queues[entry].expire(loop.now).forEach { drop(it.identifier) }

    /** Callers of one team give up at the same moment: two fifths of its waiting requests are cancelled. */
    private fun cancelWave() {
        val team = random.nextInt(Teams.size)
        val cancelled = waiting.keys
            .filter { work.getValue(it).team == team }
            .sortedBy { it.text }
            .filter { random.nextDouble() < 0.4 }
        for (identifier in cancelled) {
            queues[waiting.getValue(identifier)].cancel(identifier, loop.now)
            drop(identifier)
        }
    }

    private fun gossip(entry: Int) {
        val snapshot = queues[entry].snapshot(loop.now)
        val loads = endpoints[entry].ownLoad(loop.now)
        val taken = loop.now
        for (peer in 0 until options.entries) {
            if (peer == entry) continue
            val delay = random.nextLong(100, 700)
            loop.after(delay) {
                if (options.exchange) queues[peer].report(identity(entry), snapshot, taken, loop.now)
                endpoints[peer].reportPeerLoad(identity(entry), loads, delay.milliseconds, loop.now)
            }
        }
    }

    private fun account() {
        val elapsed = loop.milliseconds - accountedUntil
        accountedUntil = loop.milliseconds
        if (elapsed == 0L) return
        workDone += elapsed * speed
        for (pool in running.indices) {
            for (team in Teams.indices) {
                slotTime[pool][team] +=
                    elapsed * running[pool][team].toDouble()
            }
        }
    }

    private fun sample() {
        account()
        for (pool in PoolSizes.indices) {
            samples += ShareSample(loop.milliseconds, pool, slotTime[pool].toList(), waitingCount[pool].toList())
        }
    }
}
