package dogwoodgrade.shares

import dogwoodgrade.model.PoolName
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/*
 * Shares hold fleet-wide, but reports of peers are old, and entries that act on the same report correct the same
 * difference several times over. So there are two loops.
 *
 * The inner loop, at every start, compares levels of this entry only, which are exact:
 * (own usage + adjustment + lead x own slots in use) / (share x correction). Slots in use count, with a lead equal to
 * the time constant, because a started task adds usage only as it runs: without it, every slot that frees
 * meanwhile would go to the same owner.
 *
 * The outer loop, once per gossip interval, multiplies the correction of each owner by a factor that depends on its
 * fleet-wide level only. All entries apply the same relative change, so the sum changes by that much, whatever the
 * number of entries. A correction cannot help an owner that waits only at peers; for it the entry leaves some of the
 * slots that its owners in excess would take, in proportion to its part of the excess.
 *
 * The adjustment decays like usage. When a pool becomes saturated, all owners start at one level, so nobody pays for
 * capacity that was idle. An owner that becomes active later is raised to the mean of the active ones, so it has no
 * credit from the time it did not wait.
 */

/** Weight of a slot in use, in slot-seconds. */
private val RunningLead = UsageTimeConstant.toDouble(DurationUnit.SECONDS)

/** An owner or a pool without waiting requests for longer is no longer active; two gossip intervals. */
private val ActiveGrace = 2.seconds

/**
 * Parts of a distance that are corrected per gossip interval. Reports lag by up to two intervals, so larger gains
 * overshoot; 0.2 to 0.6 were measured (docs/decisions/0005-shares.md).
 */
private const val CORRECTION_GAIN = 0.3
private const val YIELD_GAIN = 0.3

/** Bound of a correction in both directions, so that an entry can undo it within seconds when the load moves. */
private const val LARGEST_CORRECTION = 16.0

/** Slots that owners who wait only at peers must lack before owners in excess are kept from gaining slots here. */
private const val MISSING_SLOTS = 0.5

/** How long a slot is left to peers; it bounds the capacity lost when a report is outdated. */
private val YieldPatience = 200.milliseconds

/** Levels of the owners of one pool at one entry. Not thread-safe; the [QueueTable] guards it. */
internal class ShareBalance(
    private val pool: PoolName,
    private val meter: UsageMeter,
    private val owners: LinkedHashMap<QueueOwner, OwnerQueue>,
) {
    var shares: Map<QueueOwner, Double> = emptyMap()
    private var lastWaiting = Instant.DISTANT_PAST
    private var yieldBudget = 0.0
    private var leaving = 0
    private var vacated = 0
    private var refusedSince = Instant.DISTANT_FUTURE
    private var leavingSince = Instant.DISTANT_PAST

    val givesWay: Boolean get() = yieldBudget >= 1

    fun share(owner: QueueOwner): Double = shares[owner] ?: 1.0

    /** Level at this entry, for the inner loop. */
    fun localLevel(queue: OwnerQueue, now: Instant): Double =
        (usage(queue, Scope.Entry, now) + RunningLead * meter.account(pool, queue.owner).ownRunning) /
            weight(queue, Scope.Entry)

    /** Part of the level at this entry that one slot in use adds at once. */
    fun levelOfOneSlot(queue: OwnerQueue): Double = RunningLead / weight(queue, Scope.Entry)

    /** Level fleet-wide, for the outer loop. */
    fun fleetLevel(queue: OwnerQueue, now: Instant): Double =
        (usage(queue, Scope.Fleet, now) + RunningLead * meter.account(pool, queue.owner).slots(now)) /
            weight(queue, Scope.Fleet)

    /** Prepares [queue] for a request when none of its requests waits here. */
    fun activate(queue: OwnerQueue, now: Instant) {
        if (owners.values.none { it.size > 0 } && now - lastWaiting > ActiveGrace) {
            meter
                .accounts(pool)
                .keys
                .toList()
                .forEach { owner -> owners.getOrPut(owner) { OwnerQueue(owner) } }
            for (scope in Scope.entries) {
                val level = owners.values.maxOf { usage(it, scope, now) / weight(it, scope) }
                owners.values.forEach { raise(it, scope, level, now) }
            }
        } else {
            Scope.entries.forEach { activate(queue, it, now) }
        }
    }

    /** Takes note that requests of [queue] wait at a peer. */
    fun noteWaitingElsewhere(queue: OwnerQueue, now: Instant) {
        activate(queue, Scope.Fleet, now)
        queue.fleet.lastWaiting = now
        lastWaiting = now
    }

    fun noteRemoved(now: Instant) {
        lastWaiting = maxOf(lastWaiting, now)
    }

    /** The outer loop: compares the owners fleet-wide and sets corrections and the number of slots to leave. */
    fun rebalance(now: Instant) {
        val active = owners.values.filter { isActive(it, Scope.Fleet, now) }
        val shareSum = active.sumOf { share(it.owner) }
        if (shareSum <= 0) return
        val mean = active.sumOf { fleetLevel(it, now) * share(it.owner) } / shareSum
        if (mean <= 0) return
        var missing = 0.0
        var excess = 0.0
        for (queue in owners.values) {
            val distance = if (queue in active) fleetLevel(queue, now) / mean - 1 else 0.0
            queue.inExcess = distance > 0
            queue.ceiling = Int.MAX_VALUE
            val here = isActive(queue, Scope.Entry, now)
            val slots = distance * mean * share(queue.owner) / (RunningLead * 2)
            if (here) {
                queue.correction *= exp(-CORRECTION_GAIN * distance.coerceIn(-1.0, 1.0))
                val account = meter.account(pool, queue.owner)
                excess += max(0.0, slots) * account.ownSlots(now) / max(account.slots(now), Double.MIN_VALUE)
            } else {
                queue.correction = 1.0
                missing += max(0.0, -slots)
            }
        }
        normalise(now)
        if (missing > MISSING_SLOTS) {
            owners.values.filter { it.inExcess }.forEach { it.ceiling = meter.account(pool, it.owner).ownRunning }
        }
        val added = YIELD_GAIN * min(missing, excess)
        yieldBudget = min(yieldBudget + added, added + 1)
    }

    /** Returns by which fraction [owner] is above (or below) the mean level of the active owners. */
    fun fleetDistance(owner: QueueOwner, now: Instant): Double {
        val queue = owners[owner] ?: return 0.0
        val active = owners.values.filter { isActive(it, Scope.Fleet, now) }
        val mean = active.sumOf { fleetLevel(it, now) * share(it.owner) } / active.sumOf { share(it.owner) }
        return if (mean > 0) fleetLevel(queue, now) / mean - 1 else 0.0
    }

    /**
     * Whether [queue] may take one more slot: an owner in excess gains none while one that waits only at peers lacks
     * them, because it would take the slots left for that owner; unless nobody has taken the slot for a while.
     */
    fun mayStart(queue: OwnerQueue, now: Instant): Boolean =
        meter.account(pool, queue.owner).ownRunning < queue.ceiling || now - refusedSince >= YieldPatience

    /** Takes note that a choice with [free] slots has or has not [started] a request. */
    fun noteFree(free: Int, started: Boolean, now: Instant) {
        if (free <= 0 || started) refusedSince = Instant.DISTANT_FUTURE else refusedSince = minOf(refusedSince, now)
    }

    /** Returns how many of [free] are not left to peers. */
    fun usable(free: Int, now: Instant): Int {
        vacated = min(vacated, max(0, free))
        leaving = if (now - leavingSince > YieldPatience) 0 else min(leaving, max(0, free - vacated))
        return free - leaving
    }

    /** Leaves one more free slot to peers. */
    fun leaveSlot(now: Instant) {
        leaving++
        vacated = max(0, vacated - 1)
        leavingSince = now
        yieldBudget -= 1
    }

    /** Takes note that a slot was freed by, or [taken] for, a request of this entry. */
    fun noteSlot(taken: Boolean) {
        vacated = if (taken) max(0, vacated - 1) else vacated + 1
    }

    private fun normalise(now: Instant) {
        val here = owners.values.filter { isActive(it, Scope.Entry, now) }
        val shareSum = here.sumOf { share(it.owner) }
        val scale = here.sumOf { share(it.owner) * it.correction } / max(shareSum, Double.MIN_VALUE)
        here.forEach {
            it.correction = (it.correction / scale).coerceIn(1 / LARGEST_CORRECTION, LARGEST_CORRECTION)
        }
    }

    private fun standing(queue: OwnerQueue, scope: Scope): Standing =
        if (scope == Scope.Entry) queue.local else queue.fleet

    private fun weight(queue: OwnerQueue, scope: Scope): Double =
        share(queue.owner) * if (scope == Scope.Entry) queue.correction else 1.0

    private fun usage(queue: OwnerQueue, scope: Scope, now: Instant): Double {
        val account = meter.account(pool, queue.owner)
        val measured = if (scope == Scope.Entry) account.ownUsage(now) else account.usage(now)
        return measured + standing(queue, scope).adjustment.value(now)
    }

    private fun isActive(queue: OwnerQueue, scope: Scope, now: Instant): Boolean =
        queue.size > 0 || now - standing(queue, scope).lastWaiting <= ActiveGrace

    private fun activate(queue: OwnerQueue, scope: Scope, now: Instant) {
        if (isActive(queue, scope, now)) return
        val others = owners.values.filter { isActive(it, scope, now) }
        val weights = others.sumOf { weight(it, scope) }
        if (weights > 0) raise(queue, scope, others.sumOf { usage(it, scope, now) } / weights, now)
    }

    private fun raise(queue: OwnerQueue, scope: Scope, level: Double, now: Instant) {
        val missing = level * weight(queue, scope) - usage(queue, scope, now)
        if (missing > 0) standing(queue, scope).adjustment.add(missing, now)
    }

    private enum class Scope { Entry, Fleet }
}
