package dogwoodgrade.routing

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Endpoints of all pools: whether the configuration and the live list allow work on them, their health and load, and
 * the slots that this entry holds on them.
 *
 * Guarded by one lock, number 4 in the lock order of the entry process. All methods return without waiting; [choose]
 * runs under the lock.
 */
public class EndpointTable(private val choose: EndpointChoice = ::powerOfTwoChoices) {
    private val lock = ReentrantLock()
    private var configuration = EndpointConfiguration()
    private var pools: Map<PoolName, List<InstanceName>> = emptyMap()
    private val records = HashMap<InstanceName, EndpointRecord>()
    private val unfinished = HashMap<Long, Reservation>()
    private var lastNumber = 0L
    private var leaving: Set<InstanceName> = emptySet()
    private var missing: Set<InstanceName> = emptySet()
    private val peers = PeerLoads()
    private val poison = PoisonRequests()

    /** Replaces the configuration. Requests in flight on instances that it no longer allows still count. */
    public fun configure(next: EndpointConfiguration, now: Instant) {
        lock.withLock {
            configuration = next
            pools = next.endpoints.groupBy(Endpoint::pool, Endpoint::instance).mapValues { it.value.sorted() }
            val endpoints = next.endpoints.associateBy(Endpoint::instance)
            records.replaceAll { instance, record -> record.configured(endpoints[instance]) }
            records.values.removeIf { it.endpoint == null && it.isIdle(now) }
            for (endpoint in next.endpoints) records.putIfAbsent(endpoint.instance, EndpointRecord(endpoint))
            pools.keys.forEach { endExcessEjections(it, now) }
        }
    }

    /**
     * Applies a reading of the live list. A leaving instance that disappears from the list stays leaving until the list
     * shows it live again. A missing instance is chosen only if no listed one is free, because the list is delayed.
     */
    public fun observeLive(observation: LiveObservation, now: Instant) {
        lock.withLock {
            leaving = (leaving - observation.live).intersect(records.keys) + observation.leaving
            missing = records.keys - observation.live - observation.leaving
            pools.keys.forEach { endExcessEjections(it, now) }
        }
    }

    /** Applies the requests in flight that peer [entry] counted [age] ago, unless a newer report of it is known. */
    public fun reportPeerLoad(entry: EntryIdentity, loads: Map<InstanceName, Int>, age: Duration, now: Instant) {
        lock.withLock {
            peers.removeOld(now)
            peers.report(entry, loads, now - age)
        }
    }

    /** Chooses an endpoint and reserves a slot on it. Every reservation must be ended with [finish]. */
    public fun reserve(request: ReservationRequest, now: Instant, random: Random): ReservationResult =
        lock.withLock {
            val eligible = recordsOf(request.pool).filter { isAllowed(it) && !it.health.isRemoved(now) }
            val untried = eligible.filter { it.endpoint?.instance !in request.tried }
            val usable = untried.filter { hasFreeSlot(it, now) }
            when {
                request.fingerprint != null && poison.isPoisonous(request.fingerprint, now) ->
                    ReservationResult.Unavailable(UnavailableReason.PoisonRequest)
                eligible.isEmpty() -> ReservationResult.Unavailable(UnavailableReason.NoneEligible)
                untried.isEmpty() -> ReservationResult.Unavailable(UnavailableReason.AllTried)
                usable.isEmpty() -> ReservationResult.Unavailable(UnavailableReason.AllFull)
                request.requestClass == RequestClass.Normal && unusedSlots(eligible, now) <= request.urgentReserve ->
                    ReservationResult.Unavailable(UnavailableReason.ReservedForUrgent)
                else -> holdSlot(request, choose(candidates(usable, request.ownZone, now, random), random), now)
            }
        }

    /**
     * Returns whether the request of [reservation] may still start. The entry checks right before it sends the first
     * byte, because the zone may have been taken out of service or the instance may have begun to leave since the
     * choice. If the request may not start, the entry finishes the reservation with [AttemptResult.NotSent] and
     * reserves again; that does not count as an attempt.
     */
    public fun mayStart(reservation: Reservation): Boolean =
        lock.withLock {
            val record = records[reservation.endpoint.instance]
            reservation.number in unfinished && record?.endpoint?.pool == reservation.endpoint.pool && isAllowed(record)
        }

    /** Frees the slot of [reservation] and records [result]. Returns `false` if it was finished before. */
    public fun finish(reservation: Reservation, result: AttemptResult, now: Instant): Boolean =
        lock.withLock {
            val held = unfinished.remove(reservation.number) ?: return false
            val instance = held.endpoint.instance
            val record = records.getValue(instance)
            val probe = record.probe == held.number
            val unknown = result.evidence == RunEvidence.Unknown
            records[instance] = record.copy(
                inFlight = record.inFlight - 1,
                probe = if (probe) null else record.probe,
                orphanedUntil = if (unknown) maxOf(record.orphanedUntil, held.leaseUntil) else record.orphanedUntil,
            )
            val sameEndpoint = record.endpoint?.pool == held.endpoint.pool &&
                record.endpoint.address == held.endpoint.address
            if (sameEndpoint) applyResult(held, result, probe, now)
            true
        }

    /** Returns the free slots of [pool]; normal work leaves [urgentReserve] slots free for urgent work. */
    public fun freeCapacity(pool: PoolName, urgentReserve: Int, now: Instant): FreeCapacity =
        lock.withLock {
            val eligible = recordsOf(pool).filter { isAllowed(it) && !it.health.isRemoved(now) }
            val free = eligible.filter { hasFreeSlot(it, now) }.sumOf { freeSlots(it, now) }
            val beyondReserve = (unusedSlots(eligible, now) - urgentReserve).coerceAtLeast(0)
            FreeCapacity(normal = minOf(free, beyondReserve), urgent = free)
        }

    /**
     * Returns this entry's load per instance, for gossip; instances without load are absent. A request with an unknown
     * outcome counts as one until its task lease has ended, so that no drain completes before.
     */
    public fun ownLoad(now: Instant): Map<InstanceName, Int> =
        lock.withLock {
            records
                .filterValues { !it.isIdle(now) }
                .mapValues { (_, record) -> record.inFlight + if (now < record.orphanedUntil) 1 else 0 }
        }

    /** Returns the requests of this entry that may still run on [instance]. */
    public fun drainState(instance: InstanceName, now: Instant): DrainState =
        lock.withLock {
            val record = records[instance]
            DrainState(record?.inFlight ?: 0, record?.orphanedUntil?.takeIf { now < it })
        }

    /** Returns the state of every endpoint of [pool], sorted by instance. */
    public fun statusOf(pool: PoolName, now: Instant): List<EndpointStatus> =
        lock.withLock {
            recordsOf(pool).mapNotNull { record ->
                record.endpoint?.let { EndpointStatus(it, record.inFlight, conditionOf(it, record, now)) }
            }
        }

    private fun recordsOf(pool: PoolName): List<EndpointRecord> = pools[pool].orEmpty().map(records::getValue)

    private fun isAllowed(record: EndpointRecord): Boolean {
        val endpoint = record.endpoint ?: return false
        return endpoint.zone !in configuration.zonesOutOfService && endpoint.instance !in leaving
    }

    /** Returns the usable slots of [endpoint]: fewer while its zone is in slow start, at least 1. */
    private fun slotsOf(endpoint: Endpoint, now: Instant): Int =
        (endpoint.slots * slowStartShare(configuration.zonesReturnedAt[endpoint.zone], now)).toInt().coerceAtLeast(1)

    private fun hasFreeSlot(record: EndpointRecord, now: Instant): Boolean {
        val endpoint = record.endpoint ?: return false
        return !record.health.isFull(now) &&
            (!record.health.isOnProbation || record.probe == null) &&
            record.inFlight < minOf(slotsOf(endpoint, now), endpoint.maxConnections)
    }

    private fun freeSlots(record: EndpointRecord, now: Instant): Int {
        val endpoint = record.endpoint ?: return 0
        val slots = slotsOf(endpoint, now)
        val byPeers = slots - record.inFlight - peers.loadOf(endpoint.instance, now).toInt()
        val byConnections = minOf(slots, endpoint.maxConnections) - record.inFlight
        val limit = if (record.health.isOnProbation) 1 else slots
        return minOf(byPeers, byConnections, limit).coerceAtLeast(0)
    }

    // Probation and slow start do not reduce this number: if they did, a pool whose endpoints are all on probation
    // would appear to have only its urgent reserve free and would refuse all normal work.
    private fun unusedSlots(eligible: List<EndpointRecord>, now: Instant): Int =
        eligible.sumOf { record ->
            val endpoint = record.endpoint
            if (endpoint == null || record.health.isFull(now)) {
                0
            } else {
                (endpoint.slots - record.inFlight - peers.loadOf(endpoint.instance, now).toInt()).coerceAtLeast(0)
            }
        }

    private fun candidates(
        usable: List<EndpointRecord>,
        ownZone: AvailabilityZone,
        now: Instant,
        random: Random,
    ): List<EndpointCandidate> {
        val endpoints = usable.mapNotNull(EndpointRecord::endpoint)
        val skippedZones = endpoints.map(Endpoint::zone).distinct().filter { zone ->
            val share = slowStartShare(configuration.zonesReturnedAt[zone], now)
            share < 1 && random.nextDouble() >= share
        }
        val listed = endpoints.filter { it.instance !in missing }.ifEmpty { endpoints }
        return listed
            .filter { it.zone !in skippedZones }
            .ifEmpty { listed }
            .map { EndpointCandidate(it.instance, it.zone == ownZone, relativeLoad(it, now)) }
    }

    // A failure counts as load for one to two seconds. Without it, an endpoint that fails immediately would always seem
    // idle and attract work until it is ejected.
    private fun relativeLoad(endpoint: Endpoint, now: Instant): Double {
        val record = records.getValue(endpoint.instance)
        val others = maxOf(peers.loadOf(endpoint.instance, now), record.health.otherLoadAfterBusy(now))
        return (record.inFlight + others + record.health.window.recentFailures(now)) / slotsOf(endpoint, now)
    }

    private fun holdSlot(request: ReservationRequest, chosen: EndpointCandidate, now: Instant): ReservationResult {
        val record = records.getValue(chosen.instance)
        val endpoint = checkNotNull(record.endpoint) { "instance ${chosen.instance} is not configured" }
        val reservation = Reservation(++lastNumber, endpoint, now, request.leaseUntil, request.fingerprint)
        unfinished[reservation.number] = reservation
        records[chosen.instance] = record.copy(
            inFlight = record.inFlight + 1,
            probe = if (record.health.isOnProbation) reservation.number else record.probe,
        )
        return ReservationResult.Reserved(reservation)
    }

    private fun applyResult(held: Reservation, result: AttemptResult, probe: Boolean, now: Instant) {
        val instance = held.endpoint.instance
        val record = records.getValue(instance)
        val attributable = result.isFailure && result != AttemptResult.TimedOut
        val wellServed = held.fingerprint != null &&
            attributable &&
            record.servesOthersWell(poison.failuresOn(instance, held.fingerprint, now), now)
        val health = record.health.after(result, held.startedAt, probe, now)
        val others = (held.endpoint.slots - record.inFlight).coerceAtLeast(0)
        records[instance] = record.copy(health = if (result == AttemptResult.Busy) health.busy(others, now) else health)
        if (held.fingerprint != null && wellServed) {
            poison.recordFailure(held.fingerprint, SuspectFailure(instance, now)).forEach(::withdraw)
        } else if (held.fingerprint != null && result is AttemptResult.Complete && !result.isFailure) {
            poison.recordSuccess(held.fingerprint)
        }
        if (result.isFailure) ejectIfOutlier(held, probe, now)
    }

    private fun withdraw(failure: SuspectFailure) {
        records.computeIfPresent(failure.instance) { _, record ->
            record.copy(health = record.health.copy(window = record.health.window.withdrawFailure(failure.time)))
        }
    }

    // At most half of the endpoints that may receive work are ejected; endpoints of a zone out of service do not count
    // among them, so that ejections do not add to the outage. Half-open endpoints count against a new ejection, because
    // they serve one request at a time.
    private fun ejectIfOutlier(held: Reservation, probe: Boolean, now: Instant) {
        val record = records.getValue(held.endpoint.instance)
        val allowed = recordsOf(held.endpoint.pool).filter(::isAllowed)
        val health = record.health
        val eject = if (health.ejectedUntil != null) {
            val ejected = allowed.count { it.health.isEjected(now) }
            probe && !health.isEjected(now) && (ejected + 1) * 2 <= allowed.size
        } else {
            val rest = allowed.filter { it !== record }.fold(OutcomeCounts()) { sum, other ->
                sum + other.health.window.countsAt(now)
            }
            val restricted = allowed.count { it.health.ejectedUntil != null }
            (restricted + 1) * 2 <= allowed.size && health.isOutlier(rest, now)
        }
        if (eject && isAllowed(record)) records[held.endpoint.instance] = record.copy(health = health.eject(now))
    }

    /** Makes ejected endpoints half-open if more than half of the endpoints that may receive work are ejected. */
    private fun endExcessEjections(pool: PoolName, now: Instant) {
        val allowed = recordsOf(pool).filter(::isAllowed)
        val ejected = allowed.filter { it.health.isEjected(now) }.sortedBy { it.health.ejectedUntil }
        for (record in ejected.take((ejected.size - allowed.size / 2).coerceAtLeast(0))) {
            val instance = record.endpoint?.instance ?: continue
            records[instance] = record.copy(health = record.health.copy(ejectedUntil = now))
        }
    }

    private fun conditionOf(endpoint: Endpoint, record: EndpointRecord, now: Instant): EndpointCondition =
        when {
            endpoint.zone in configuration.zonesOutOfService -> EndpointCondition.ZoneOut
            endpoint.instance in leaving -> EndpointCondition.Leaving
            record.health.isEjected(now) -> EndpointCondition.Ejected
            record.health.isRemoved(now) -> EndpointCondition.Removed
            record.health.isOnProbation -> EndpointCondition.Probation
            !hasFreeSlot(record, now) -> EndpointCondition.Full
            else -> EndpointCondition.Serving
        }
}
