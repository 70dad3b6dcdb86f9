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
 * Fraction above the mean level at which an owner's urgent work loses the reserve, and waits for a normal slot. With
 * 0.05, the swings of an owner around its share kept its urgent work waiting for over 1.6 s.
 */
private const val RESERVE_TOLERANCE = 0.1

/**
 * The same for a slot beyond the owner's part of the reserve. With [RESERVE_TOLERANCE], an owner with urgent work only
 * held 55.6% of the slots instead of 50%.
 */
private const val BORROWING_TOLERANCE = 0.05

/** Wait after which urgent work goes before other owners' work; leaves 1.2 s of the bound of 1.6 s to find a slot. */
private val UrgentPatience = 400.milliseconds

/** The owner chosen to start next, and whether its request goes to the urgent reserve. */
internal data class Choice(
    val owner: QueueOwner,
    val onReserve: Boolean,
)

/** The queues of one pool at one entry. Not thread-safe; the [QueueTable] guards it. */
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

    /** Puts a taken request back at the head of its queue, which may exceed the bound by the requests put back. */
    fun putBack(identifier: RequestIdentifier, now: Instant): Boolean {
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
        if (free.normal <= 0) balance.noteFree(0, false, now) else noteReserveWhole(now)
        if (usable > 0) {
            val standings = standings(now, denied, urgentOnly = false)
            val owner = policy(agedUrgent(now, denied, standings)) ?: policy(standings)
            balance.noteFree(usable, owner != null, now)
            if (owner != null) return Choice(owner, onReserve = false)
            if (standings.isNotEmpty() && balance.givesWay) balance.leaveSlot(now)
        }
        if (free.urgent <= max(0, free.normal)) return null
        val urgent = standings(now, denied, urgentOnly = true).filter { mayUseReserve(it, free, now) }
        return policy(urgent)?.let { Choice(it, onReserve = true) }
    }

    /** Takes the request that [choice] stands for; requests that are too late go to [refusals] instead. */
    fun take(choice: Choice, now: Instant, refusals: MutableList<Refusal>): WaitingRequest? {
        val queue = owners[choice.owner] ?: return null
        refusals += expire(queue, now)
        val request = queue.head(urgentOnly = choice.onReserve)?.request ?: return null
        cancel(request.identifier, now)
        queue.lacksPermit = false
        queue.noteStart(++startNumber, now)
        if (!choice.onReserve) balance.noteSlot(taken = true)
        meter.start(pool, request.owner, choice.onReserve, now)
        started[request.identifier] = Started(request, now, choice.onReserve)
        return request
    }

    /** Ends a taken request and returns it, or `null` if it is not one. */
    fun end(identifier: RequestIdentifier, end: RunEnd, now: Instant): WaitingRequest? {
        val run = started.remove(identifier) ?: return null
        if (!run.onReserve) balance.noteSlot(taken = false)
        meter.end(pool, run.request.owner, run.onReserve, run.at, ran = end != RunEnd.NotRun, now)
        if (end == RunEnd.Completed) runTimes.learn(run.request.owner, now - run.at, now)
        return run.request
    }

    /**
     * The reserve is a number of slots that stay free, not certain slots: once a slot beyond it is free, it is whole,
     * and work that started on it no longer counts against its owner's part of it.
     */
    private fun noteReserveWhole(now: Instant) {
        for (run in started.values.filter { it.onReserve }) {
            run.onReserve = false
            meter.account(pool, run.request.owner).change(now, 0, -1)
        }
    }

    fun notePermitDenied(owner: QueueOwner) {
        owners[owner]?.lacksPermit = true
    }

    /** Takes note of new reports: owners that wait at peers are active here too. */
    fun noteReports(now: Instant) {
        for ((owner, account) in meter.accounts(pool).toList()) {
            if (account.peers.waiting > 0) {
                balance.noteWaitingElsewhere(owners.getOrPut(owner) { OwnerQueue(owner) }, now)
            }
        }
    }

    /** Compares the owners fleet-wide; to be called once per gossip interval. */
    fun rebalance(now: Instant): Unit = balance.rebalance(now)

    /** Requests of [owner] that wait for a slot and not for a permit. */
    fun waitingForSlot(owner: QueueOwner): Int = owners[owner]?.takeUnless { it.lacksPermit }?.size ?: 0

    fun counts(): List<QueueCount> =
        owners.values.flatMap { queue ->
            RequestClass.entries.map { QueueCount(pool, queue.owner, it, queue.size(it)) }
        }

    fun runningOwners(): List<QueueOwner> = started.values.map { it.request.owner }

    /** Removes owners that have been inactive for long, to bound the memory. */
    fun prune(now: Instant) {
        owners.values.removeIf { it.size == 0 && now - it.fleet.lastWaiting > UsageTimeConstant * 10 }
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
        balance.noteRemoved(now)
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

    private fun standings(now: Instant, denied: Set<QueueOwner>, urgentOnly: Boolean): List<OwnerStanding> =
        owners.values.mapNotNull { queue ->
            val head = queue.takeUnless { it.owner in denied }?.head(urgentOnly) ?: return@mapNotNull null
            val givesWay = !urgentOnly && (queue.inExcess && balance.givesWay || !balance.mayStart(queue, now))
            val level = balance.localLevel(queue, now)
            OwnerStanding(queue.owner, level, head.request.arrival, queue.lastStart, givesWay)
        }

    /**
     * Owners within their shares whose urgent work has waited for too long. The advance is one slot per entry: without
     * this bound, an owner with urgent work only swung by 15% around its share.
     */
    private fun agedUrgent(now: Instant, denied: Set<QueueOwner>, standings: List<OwnerStanding>): List<OwnerStanding> {
        val lowest = standings.minOfOrNull { it.level } ?: return emptyList()
        return standings(now, denied, urgentOnly = true).filter {
            now - it.headArrival >= UrgentPatience &&
                it.level - balance.levelOfOneSlot(owners.getValue(it.owner)) <= lowest &&
                balance.fleetDistance(it.owner, now) <= RESERVE_TOLERANCE
        }
    }

    /**
     * An owner holds at most its part of the reserve by its share of all configured owners, and at least one slot. Work
     * that has waited for too long borrows one slot more: an entry sees few of the normal slots that become free. An
     * owner above its share fleet-wide takes none, so that urgent work adds nothing to its share in the long run.
     */
    private fun mayUseReserve(standing: OwnerStanding, free: FreeSlots, now: Instant): Boolean {
        val accounts = meter.accounts(pool)
        val reserve = free.urgent - max(0, free.normal) + accounts.values.sumOf { it.ownReserve + it.peers.reserve }
        val shares = balance.shares.ifEmpty { accounts.mapValues { balance.share(it.key) } }
        val part = max(1.0, ceil(reserve * balance.share(standing.owner) / shares.values.sum()))
        val held = accounts[standing.owner]?.let { it.ownReserve + it.peers.reserve } ?: 0
        val distance = balance.fleetDistance(standing.owner, now)
        return when {
            held < part -> distance <= RESERVE_TOLERANCE
            now - standing.headArrival < UrgentPatience -> false
            else -> held < min(part + 1, reserve.toDouble()) && distance <= BORROWING_TOLERANCE
        }
    }
}
