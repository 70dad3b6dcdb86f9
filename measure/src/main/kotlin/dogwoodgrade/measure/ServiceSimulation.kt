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
 * Simulates entries in front of five pools, in virtual time: queues, endpoint choice, and gossip of usage and load. Of
 * the network and the platform, only the delay of gossip is modelled (100 to 700 ms, once a second).
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
    private val busySlots = HashMap<InstanceName, Int>()
    private val runningCount = Array(POOL_SIZES.size) { IntArray(TEAM_PROFILES.size) }
    private val slotTime = Array(POOL_SIZES.size) { DoubleArray(TEAM_PROFILES.size) }
    private val waitingCount = Array(POOL_SIZES.size) { IntArray(TEAM_PROFILES.size) }
    private var accountedUntil = 0L
    private var totalSpeed = 0.0
    private val failing = InstanceName("instance-0-0").takeIf { options.faults }
    private var arrivalCount = 0L

    /** Work done up to the start and the end of the measured period, in slot-milliseconds at full speed. */
    val workDoneAt = HashMap<Long, Double>()
    val samples = ArrayList<ShareSample>()

    /** Tasks started in zone 0 more than 2 s after it was taken out of service and before its return. */
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
        queues.forEach { table -> table.configure(TEAM_PROFILES.associate { QueueOwner.Team(it.name) to it.share }) }
        for (pool in POOL_SIZES.indices) for (team in TEAM_PROFILES.indices) loop.at(1) { arrive(pool, team) }
        for (entry in 0 until options.entries) {
            loop.every(entry * 7L, 50) { POOL_NAMES.indices.forEach { startAll(entry, it) } }
            loop.every(entry * 11L, 1_000) { expire(entry) }
            loop.every(entry * 137L, 1_000) { gossip(entry) }
        }
        if (options.faults) loop.every(7_000, 7_000) { cancelRequestsOfOneTeam() }
        options.outage?.let { scheduleOutage(it, configuration) }
        loop.every(0, SHARE_SAMPLE_INTERVAL_MILLISECONDS) { sample() }
        loop.runUntil(options.seconds * 1_000)
        return this
    }

    /**
     * Returns the mean part of the slots that is in use between two samples at which the pool is saturated. The failing
     * instance does not count.
     */
    fun slotUseWhileSaturated(): Double {
        val pairs = samples
            .groupBy(ShareSample::pool)
            .values
            .flatMap { it.zipWithNext() }
            .filter { (a, b) -> a.waiting.all { it > 0 } && b.waiting.all { it > 0 } }
        val used = pairs.sumOf { (a, b) -> b.slotTime.sum() - a.slotTime.sum() }
        val offered = pairs.sumOf { (a, _) ->
            (POOL_SIZES[a.pool] - if (a.pool == 0) 1 else 0) * SLOTS_PER_INSTANCE *
                SHARE_SAMPLE_INTERVAL_MILLISECONDS.toDouble()
        }
        return used / offered
    }

    private fun scheduleOutage(outage: ZoneOutage, configuration: EndpointConfiguration) {
        for (table in endpoints) {
            loop.at(outage.takenOutAt + random.nextLong(outage.foldDelayMilliseconds)) {
                table.configure(configuration.copy(zonesOutOfService = setOf(AVAILABILITY_ZONES[0])), loop.now)
            }
            loop.at(outage.returnedAt + random.nextLong(outage.foldDelayMilliseconds)) {
                val returned =
                    if (outage.slowStart) mapOf(AVAILABILITY_ZONES[0] to instantAt(outage.returnedAt)) else emptyMap()
                table.configure(configuration.copy(zonesReturnedAt = returned), loop.now)
            }
        }
        for (time in listOf(outage.takenOutAt - 10_000, outage.returnedAt + 30_000)) {
            loop.at(time) {
                accumulateSlotTime()
                workDoneAt[time] = workDone
            }
        }
    }

    private fun arrive(pool: Int, team: Int) {
        val profile = TEAM_PROFILES[team]
        val demandFraction = profile.demand / TEAM_PROFILES.sumOf(TeamProfile::demand)
        val perMillisecond =
            options.load * POOL_SIZES[pool] * SLOTS_PER_INSTANCE * demandFraction / profile.meanRunTimeMilliseconds
        // Poisson thinning: candidates arrive at the peak rate and are accepted in proportion to the current demand.
        loop.after(arrivals.nextExponential(1 / (perMillisecond * demand.burstFactor))) { arrive(pool, team) }
        val accepted = arrivals.nextDouble() < demand.factor(pool, loop.milliseconds) / demand.burstFactor
        val weights = List(options.entries) { if (it % ZONE_COUNT == profile.homeZoneIndex) 3.0 else 1.0 }
        val entry = arrivals.nextWeightedIndex(weights)
        // Run times range from a tenth of their mean to several times it; the queues are not told the sizes.
        val runTime = (profile.meanRunTimeMilliseconds * (0.1 + 0.9 * arrivals.nextExponential(1_000.0) / 1_000))
            .toLong()
            .coerceAtLeast(1)
        if (!accepted) return
        val identifier = RequestIdentifier("r${arrivalCount++}")
        val owner = QueueOwner.Team(profile.name)
        val request = WaitingRequest(
            identifier,
            POOL_NAMES[pool],
            owner,
            RequestClass.Normal,
            loop.now,
            loop.now + 30.seconds,
        )
        if (queues[entry].offer(request, loop.now) != OfferResult.Queued) return
        work[identifier] = Work(request, team, pool, runTime)
        addToWaiting(identifier, entry)
        startAll(entry, pool)
    }

    private fun addToWaiting(identifier: RequestIdentifier, entry: Int) {
        val item = work.getValue(identifier)
        waiting[identifier] = entry
        waitingCount[item.pool][item.team]++
    }

    private fun removeFromWaiting(identifier: RequestIdentifier): Work {
        val item = work.getValue(identifier)
        if (waiting.remove(identifier) != null) waitingCount[item.pool][item.team]--
        return item
    }

    private fun discard(identifier: RequestIdentifier) {
        removeFromWaiting(identifier)
        work.remove(identifier)
    }

    private fun startAll(entry: Int, pool: Int) {
        while (true) {
            val selection = queues[entry].takeNext(POOL_NAMES[pool], loop.now, freeSlots(entry, pool)) { true }
            selection.refusals.forEach { discard(it.identifier) }
            val request = selection.started ?: return
            val item = removeFromWaiting(request.identifier)
            val reservationRequest =
                ReservationRequest(
                    POOL_NAMES[pool],
                    AVAILABILITY_ZONES[entry % ZONE_COUNT],
                    RequestClass.Normal,
                    0,
                    loop.now + 2.minutes,
                )
            val reserved = endpoints[entry].reserve(reservationRequest, loop.now, random) as? ReservationResult.Reserved
            if (reserved == null) {
                requeue(entry, request.identifier)
                return
            }
            send(entry, item, reserved.reservation)
        }
    }

    private fun freeSlots(entry: Int, pool: Int): FreeSlots {
        if (options.exactSlots) {
            val usable = POOL_SIZES[pool] * SLOTS_PER_INSTANCE - if (pool == 0) SLOTS_PER_INSTANCE else 0
            return (usable - runningCount[pool].sum()).let { FreeSlots(it, it) }
        }
        val free = endpoints[entry].freeCapacity(POOL_NAMES[pool], 0, loop.now)
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
            (busySlots[instance] ?: 0) >= SLOTS_PER_INSTANCE -> loop.after(1) {
                busyAnswers++
                endpoints[entry].finish(reservation, AttemptResult.Busy, loop.now)
                requeue(entry, identifier)
            }
            else -> execute(entry, item, reservation)
        }
    }

    private fun execute(entry: Int, item: Work, reservation: Reservation) {
        val instance = reservation.endpoint.instance
        val taskSpeed = speedOf(reservation)
        accumulateSlotTime()
        totalSpeed += taskSpeed
        busySlots.merge(instance, 1, Int::plus)
        runningCount[item.pool][item.team]++
        loop.after((item.runTime / taskSpeed).toLong().coerceAtLeast(1)) {
            accumulateSlotTime()
            totalSpeed -= taskSpeed
            busySlots.merge(instance, -1, Int::plus)
            runningCount[item.pool][item.team]--
            endpoints[entry].finish(reservation, AttemptResult.Complete(200), loop.now)
            queues[entry].end(item.request.identifier, RunEnd.Completed, loop.now)
            work.remove(item.request.identifier)
            startAll(entry, item.pool)
        }
    }

    /** Returns the speed of a task that starts now, which it keeps until it ends. */
    private fun speedOf(reservation: Reservation): Double {
        val outage = options.outage ?: return 1.0
        if (reservation.endpoint.zone != AVAILABILITY_ZONES[0]) return 1.0
        if (loop.milliseconds in outage.takenOutAt + 2_001 until outage.returnedAt) lateStarts++
        val cold = loop.milliseconds in outage.returnedAt until outage.returnedAt + outage.coldMilliseconds
        return if (cold) outage.coldSpeed else 1.0
    }

    private fun requeue(entry: Int, identifier: RequestIdentifier) {
        if (queues[entry].requeue(identifier, loop.now) ==
            OfferResult.Queued
        ) {
            addToWaiting(identifier, entry)
        } else {
            work.remove(identifier)
        }
    }

    private fun expire(entry: Int) = queues[entry].expire(loop.now).forEach { discard(it.identifier) }

    /** Cancels two fifths of the waiting requests of one team at once, as when its callers give up together. */
    private fun cancelRequestsOfOneTeam() {
        val team = random.nextInt(TEAM_PROFILES.size)
        val cancelled = waiting.keys
            .filter { work.getValue(it).team == team }
            .sortedBy { it.text }
            .filter { random.nextDouble() < 0.4 }
        for (identifier in cancelled) {
            queues[waiting.getValue(identifier)].cancel(identifier, loop.now)
            discard(identifier)
        }
    }

    private fun gossip(entry: Int) {
        val snapshot = queues[entry].snapshot(loop.now)
        val loads = endpoints[entry].ownLoad(loop.now)
        val takenAt = loop.now
        for (peer in 0 until options.entries) {
            if (peer == entry) continue
            val delay = random.nextLong(100, 700)
            loop.after(delay) {
                if (options.exchangesUsage) queues[peer].report(identity(entry), snapshot, takenAt, loop.now)
                endpoints[peer].reportPeerLoad(identity(entry), loads, delay.milliseconds, loop.now)
            }
        }
    }

    private fun accumulateSlotTime() {
        val elapsed = loop.milliseconds - accountedUntil
        accountedUntil = loop.milliseconds
        if (elapsed == 0L) return
        workDone += elapsed * totalSpeed
        for (pool in runningCount.indices) {
            for (team in TEAM_PROFILES.indices) {
                slotTime[pool][team] +=
                    elapsed * runningCount[pool][team].toDouble()
            }
        }
    }

    private fun sample() {
        accumulateSlotTime()
        for (pool in POOL_SIZES.indices) {
            samples += ShareSample(loop.milliseconds, pool, slotTime[pool].toList(), waitingCount[pool].toList())
        }
    }
}
