package dogwoodgrade.shares

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Fraction above the mean level beyond which an owner's urgent work may not use the reserve and waits for a normal
 * slot. Lower values delay urgent work: at 0.05, the variation of an owner around its share makes it wait over 1.6 s.
 */
private const val RESERVE_TOLERANCE = 0.1

/**
 * Fraction above the mean level beyond which an owner may not take a slot beyond its part of the reserve. Higher
 * values raise an owner above its share: at 0.1, one with only urgent work holds 55.6% of the slots instead of 50%.
 */
private const val BORROWING_TOLERANCE = 0.05

/** Wait after which urgent work precedes other owners' work; leaves 1.2 s of the bound of 1.6 s to find a slot. */
private val URGENT_WAIT_LIMIT = 400.milliseconds

/** The owner chosen to start next, and whether its request goes to the urgent reserve. */
internal data class Choice(
    val owner: QueueOwner,
    val onReserve: Boolean,
)

/** The queues of one pool at one entry. Not thread-safe; guarded by the lock of [QueueTable]. */
internal class FairQueue(
    private val pool: PoolName,
    private val settings: QueueSettings,
    private val meter: UsageMeter,
    private val policy: SelectionPolicy,
) {
    private class Started(val request: WaitingRequest, val at: Instant, var onReserve: Boolean)

    private val owners = LinkedHashMap<QueueOwner, OwnerQueue>()
    private val nodes = HashMap<RequestIdentifier, RequestNode>()
    private val started = HashMap<RequestIdentifier, Started>()
    private val runTimes = RunTimes()
    private val balance = ShareBalance(pool, meter, owners)
    private var startNumber = 0L

    val isEmpty: Boolean get() = nodes.isEmpty() && started.isEmpty()

    fun configure(newShares: Map<QueueOwner, Double>) {
        balance.shares = newShares
    }

    fun offer(request: WaitingRequest, now: Instant): OfferResult {
        val queue = owners.getOrPut(request.owner) { OwnerQueue(request.owner) }
        return when {
            request.identifier in nodes || request.identifier in started ->
                refused(request, ResultCode.MalformedRequest)
            isTooLate(request, now) -> refused(request, ResultCode.DeadlineTooShort)
            queue.size(request.requestClass) >= settings.queueBound ->
                refused(request, ResultCode.QueueFull, queue.retryAfter(now))
            else -> {
                if (queue.size == 0) balance.activate(queue, now)
                add(queue, request, atHead = false)
            }
        }
    }

    /** Puts a taken request back at the head of its queue; requests put back may exceed the queue bound. */
    fun requeue(identifier: RequestIdentifier, now: Instant): Boolean {
        val request = end(identifier, RunEnd.NotRun, now) ?: return false
        add(owners.getOrPut(request.owner) { OwnerQueue(request.owner) }, request, atHead = true)
        return true
    }

    fun cancel(identifier: RequestIdentifier, now: Instant): WaitingRequest? {
        val node = nodes.remove(identifier) ?: return null
        remove(node, now)
        return node.request
    }

    fun expire(now: Instant): List<Refusal> =
        owners.values.filter { it.size > 0 }.flatMap { expire(it, now) }

    fun drain(now: Instant): List<Refusal> =
        owners.values.flatMap { it.waiting() }.map { node ->
            cancel(node.request.identifier, now)
            Refusal(node.request.identifier, ResultCode.Stopping)
        }

    /** Chooses among the owners that are not in [denied]; see [QueueTable.takeNext]. */
    fun choose(now: Instant, free: FreeSlots, denied: Set<QueueOwner>): Choice? {
        val usable = balance.usable(free.normal, now)
        if (free.normal <= 0) balance.recordSelection(0, false, now) else recordReserveFree(now)
        if (usable > 0) {
            val candidates = candidates(now, denied, urgentOnly = false)
            val owner = policy(overdue(now, denied, candidates)) ?: policy(candidates)
            balance.recordSelection(usable, owner != null, now)
            if (owner != null) return Choice(owner, onReserve = false)
            if (candidates.isNotEmpty() && balance.canYieldSlot) balance.yieldSlot(now)
        }
        if (free.urgent <= max(0, free.normal)) return null
        val urgent = candidates(now, denied, urgentOnly = true).filter { mayUseReserve(it, free, now) }
        return policy(urgent)?.let { Choice(it, onReserve = true) }
    }

    /** Takes the next request of the owner in [choice]; adds requests that are too late to [refusals]. */
    fun take(choice: Choice, now: Instant, refusals: MutableList<Refusal>): WaitingRequest? {
        val queue = owners[choice.owner] ?: return null
        refusals += expire(queue, now)
        val request = queue.head(urgentOnly = choice.onReserve)?.request ?: return null
        cancel(request.identifier, now)
        queue.lacksPermit = false
        queue.recordStart(++startNumber, now)
        if (!choice.onReserve) balance.recordSlotChange(taken = true)
        meter.start(pool, request.owner, choice.onReserve, now)
        started[request.identifier] = Started(request, now, choice.onReserve)
        return request
    }

    /** Ends a taken request and returns it, or `null` if [identifier] is not one. */
    fun end(identifier: RequestIdentifier, end: RunEnd, now: Instant): WaitingRequest? {
        val run = started.remove(identifier) ?: return null
        if (!run.onReserve) balance.recordSlotChange(taken = false)
        meter.end(pool, run.request.owner, run.onReserve, run.at, ran = end != RunEnd.NotRun, now)
        if (end == RunEnd.Completed) runTimes.record(run.request.owner, now - run.at, now)
        return run.request
    }

    /**
     * Stops counting running work against the reserve. The reserve is a number of slots that stay free, not a set of
     * particular slots: once a normal slot is free, the whole reserve is free again, and work that started on it no
     * longer counts against its owner's part.
     */
    private fun recordReserveFree(now: Instant) {
        for (run in started.values.filter { it.onReserve }) {
            run.onReserve = false
            meter.account(pool, run.request.owner).change(now, 0, -1)
        }
    }

    fun recordPermitDenied(owner: QueueOwner) {
        owners[owner]?.lacksPermit = true
    }

    /** Marks owners that wait at peers, according to their latest reports, as active here too. */
    fun recordReports(now: Instant) {
        for ((owner, account) in meter.accounts(pool).toList()) {
            if (account.peers.waiting > 0) {
                balance.recordWaitingAtPeer(owners.getOrPut(owner) { OwnerQueue(owner) }, now)
            }
        }
    }

    /** Corrects fleet-wide deviations from the shares; to be called once per gossip interval. */
    fun rebalance(now: Instant): Unit = balance.rebalance(now)

    /** Returns the number of requests of [owner] that wait for a slot and not for a permit. */
    fun waitingForSlot(owner: QueueOwner): Int = owners[owner]?.takeUnless { it.lacksPermit }?.size ?: 0

    fun counts(): List<QueueCount> =
        owners.values.flatMap { queue ->
            RequestClass.entries.map { QueueCount(pool, queue.owner, it, queue.size(it)) }
        }

    fun runningOwners(): List<QueueOwner> = started.values.map { it.request.owner }

    /** Removes owners without waiting requests in the last ten usage time constants, to bound the memory. */
    fun prune(now: Instant) {
        owners.values.removeIf { it.size == 0 && now - it.fleet.lastWaiting > USAGE_TIME_CONSTANT * 10 }
        runTimes.prune(now)
        meter.prune(pool, now) { it in owners }
    }

    private fun refused(request: WaitingRequest, code: ResultCode, retryAfter: Duration? = null) =
        OfferResult.Refused(Refusal(request.identifier, code, retryAfter))

    private fun add(queue: OwnerQueue, request: WaitingRequest, atHead: Boolean): OfferResult {
        val node = RequestNode(request)
        nodes[request.identifier] = node
        queue.add(node, atHead)
        return OfferResult.Queued
    }

    private fun remove(node: RequestNode, now: Instant) {
        owners.getValue(node.request.owner).remove(node, now)
        balance.recordRemoval(now)
    }

    private fun isTooLate(request: WaitingRequest, now: Instant): Boolean =
        request.deadline < now + runTimes.shortest(request.owner, now)

    private fun expire(queue: OwnerQueue, now: Instant): List<Refusal> {
        val earliestEnd = now + runTimes.shortest(queue.owner, now)
        return generateSequence { queue.firstDueBefore(earliestEnd) }
            .map { node ->
                cancel(node.request.identifier, now)
                Refusal(node.request.identifier, ResultCode.DeadlineTooShort)
            }.toList()
    }

    private fun candidates(now: Instant, denied: Set<QueueOwner>, urgentOnly: Boolean): List<OwnerCandidate> =
        owners.values.mapNotNull { queue ->
            val head = queue.takeUnless { it.owner in denied }?.head(urgentOnly) ?: return@mapNotNull null
            val mustYield = !urgentOnly && (queue.aboveShare && balance.canYieldSlot || !balance.mayStart(queue, now))
            val level = balance.localLevel(queue, now)
            OwnerCandidate(queue.owner, level, head.request.arrival, queue.lastStart, mustYield)
        }

    /**
     * Returns the owners within their shares whose urgent work has waited for [URGENT_WAIT_LIMIT]. They may be at most
     * one slot per entry ahead of the lowest level: without this bound, the use of an owner with only urgent work
     * varies by 15% around its share.
     */
    private fun overdue(now: Instant, denied: Set<QueueOwner>, candidates: List<OwnerCandidate>): List<OwnerCandidate> {
        val lowest = candidates.minOfOrNull { it.level } ?: return emptyList()
        return candidates(now, denied, urgentOnly = true).filter {
            now - it.headArrival >= URGENT_WAIT_LIMIT &&
                it.level - balance.levelOfOneSlot(owners.getValue(it.owner)) <= lowest &&
                balance.fleetDeviation(it.owner, now) <= RESERVE_TOLERANCE
        }
    }

    /**
     * Returns whether the owner may start urgent work on the reserve. Its part of the reserve is proportional to its
     * share among all configured owners, and at least one slot. Work that has waited for [URGENT_WAIT_LIMIT] may use
     * one more slot, because an entry sees few of the normal slots that become free. An owner above its share
     * fleet-wide gets none, so that urgent work does not increase its share in the long run.
     */
    private fun mayUseReserve(candidate: OwnerCandidate, free: FreeSlots, now: Instant): Boolean {
        val accounts = meter.accounts(pool)
        val reserve = free.urgent - max(0, free.normal) + accounts.values.sumOf { it.ownReserve + it.peers.reserve }
        val shares = balance.shares.ifEmpty { accounts.mapValues { balance.share(it.key) } }
        val reservePart = max(1.0, ceil(reserve * balance.share(candidate.owner) / shares.values.sum()))
        val held = accounts[candidate.owner]?.let { it.ownReserve + it.peers.reserve } ?: 0
        val deviation = balance.fleetDeviation(candidate.owner, now)
        return when {
            held < reservePart -> deviation <= RESERVE_TOLERANCE
            now - candidate.headArrival < URGENT_WAIT_LIMIT -> false
            else -> held < min(reservePart + 1, reserve.toDouble()) && deviation <= BORROWING_TOLERANCE
        }
    }
}
