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
 * Shares apply fleet-wide, but reports of peers are delayed, and entries that act on the same report would correct the
 * same deviation several times. Therefore there are two control loops.
 *
 * The inner loop, at every start, compares levels of this entry only, which are exact:
 * (own usage + adjustment + weight x own slots in use) / (share x correction). Slots in use count with a weight equal
 * to the time constant, because a started task adds usage only while it runs: without this term, every slot that
 * becomes free in the meantime would go to the same owner.
 *
 * The outer loop, once per gossip interval, multiplies the correction of each owner by a factor that depends only on
 * its fleet-wide level. All entries apply the same relative change, so the total changes by the same factor, regardless
 * of the number of entries. A correction cannot help an owner that waits only at peers; for such an owner, the entry
 * leaves free some of the slots that its owners above their shares would take, in proportion to its part of the excess.
 *
 * The adjustment decays like usage. When a pool becomes saturated, all owners start at the same level, so the use of
 * capacity that was idle before does not count against anyone. An owner that becomes active later is raised to the mean
 * level of the active owners, so it gains no credit from the time in which it had no waiting requests.
 */

/** Usage that a slot in use adds to a level, in slot-seconds. */
private val RUNNING_SLOT_WEIGHT = USAGE_TIME_CONSTANT.toDouble(DurationUnit.SECONDS)

/** Time without waiting requests after which an owner or a pool is inactive: two gossip intervals. */
private val ACTIVITY_TIMEOUT = 2.seconds

/**
 * Fraction of an owner's deviation from the mean level that is corrected per gossip interval. Larger gains overshoot,
 * because reports lag by up to two intervals (`docs/decisions/0005-shares.md`).
 */
private const val CORRECTION_GAIN = 0.3

/**
 * Fraction of the slots missing at peers, or of the excess here if that is smaller, that is left to peers per gossip
 * interval. Larger gains overshoot, because reports lag by up to two intervals.
 */
private const val YIELD_GAIN = 0.3

/** Bound of a correction in both directions, so that an entry can undo it within seconds when the load changes. */
private const val MAX_CORRECTION = 16.0

/** Slots that owners waiting only at peers must lack before owners above their shares may gain no slots here. */
private const val MISSING_SLOTS_THRESHOLD = 0.5

/** Time for which a slot is left to peers; bounds the capacity lost when a report is outdated. */
private val YIELD_TIMEOUT = 200.milliseconds

/** Levels of the owners of one pool at one entry. Not thread-safe; guarded by the lock of [QueueTable]. */
internal class ShareBalance(
    private val pool: PoolName,
    private val meter: UsageMeter,
    private val owners: LinkedHashMap<QueueOwner, OwnerQueue>,
) {
    var shares: Map<QueueOwner, Double> = emptyMap()
    private var lastWaiting = Instant.DISTANT_PAST
    private var yieldBudget = 0.0
    private var yieldedSlots = 0
    private var freedSlots = 0
    private var idleSince = Instant.DISTANT_FUTURE
    private var lastYield = Instant.DISTANT_PAST

    val canYieldSlot: Boolean get() = yieldBudget >= 1

    fun share(owner: QueueOwner): Double = shares[owner] ?: 1.0

    /** Returns the level of the owner of [queue] at this entry, for the inner loop. */
    fun localLevel(queue: OwnerQueue, now: Instant): Double =
        (usage(queue, Scope.Entry, now) + RUNNING_SLOT_WEIGHT * meter.account(pool, queue.owner).ownRunning) /
            weight(queue, Scope.Entry)

    /** Returns the amount by which one slot in use raises the level at this entry. */
    fun levelOfOneSlot(queue: OwnerQueue): Double = RUNNING_SLOT_WEIGHT / weight(queue, Scope.Entry)

    /** Returns the fleet-wide level of the owner of [queue], for the outer loop. */
    fun fleetLevel(queue: OwnerQueue, now: Instant): Double =
        (usage(queue, Scope.Fleet, now) + RUNNING_SLOT_WEIGHT * meter.account(pool, queue.owner).slots(now)) /
            weight(queue, Scope.Fleet)

    /** Adjusts the usage before the first request is added to [queue], which is empty. */
    fun activate(queue: OwnerQueue, now: Instant) {
        if (owners.values.none { it.size > 0 } && now - lastWaiting > ACTIVITY_TIMEOUT) {
            meter
                .accounts(pool)
                .keys
                .toList()
                .forEach { owner -> owners.getOrPut(owner) { OwnerQueue(owner) } }
            for (scope in Scope.entries) {
                val level = owners.values.maxOf { usage(it, scope, now) / weight(it, scope) }
                owners.values.forEach { raiseUsage(it, scope, level, now) }
            }
        } else {
            Scope.entries.forEach { activate(queue, it, now) }
        }
    }

    /** Records that requests of the owner of [queue] wait at a peer. */
    fun recordWaitingAtPeer(queue: OwnerQueue, now: Instant) {
        activate(queue, Scope.Fleet, now)
        queue.fleet.lastWaiting = now
        lastWaiting = now
    }

    fun recordRemoval(now: Instant) {
        lastWaiting = maxOf(lastWaiting, now)
    }

    /** The outer loop: compares the owners fleet-wide, sets corrections and the number of slots to leave to peers. */
    fun rebalance(now: Instant) {
        val active = owners.values.filter { isActive(it, Scope.Fleet, now) }
        val shareSum = active.sumOf { share(it.owner) }
        if (shareSum <= 0) return
        val mean = active.sumOf { fleetLevel(it, now) * share(it.owner) } / shareSum
        if (mean <= 0) return
        var missing = 0.0
        var excess = 0.0
        for (queue in owners.values) {
            val deviation = if (queue in active) fleetLevel(queue, now) / mean - 1 else 0.0
            queue.aboveShare = deviation > 0
            queue.slotLimit = Int.MAX_VALUE
            val activeHere = isActive(queue, Scope.Entry, now)
            val slots = deviation * mean * share(queue.owner) / (RUNNING_SLOT_WEIGHT * 2)
            if (activeHere) {
                queue.correction *= exp(-CORRECTION_GAIN * deviation.coerceIn(-1.0, 1.0))
                val account = meter.account(pool, queue.owner)
                excess += max(0.0, slots) * account.ownSlots(now) / max(account.slots(now), Double.MIN_VALUE)
            } else {
                queue.correction = 1.0
                missing += max(0.0, -slots)
            }
        }
        normalise(now)
        if (missing > MISSING_SLOTS_THRESHOLD) {
            owners.values.filter { it.aboveShare }.forEach { it.slotLimit = meter.account(pool, it.owner).ownRunning }
        }
        val added = YIELD_GAIN * min(missing, excess)
        yieldBudget = min(yieldBudget + added, added + 1)
    }

    /** Returns the relative deviation of [owner] from the mean level of the active owners; positive if above it. */
    fun fleetDeviation(owner: QueueOwner, now: Instant): Double {
        val queue = owners[owner] ?: return 0.0
        val active = owners.values.filter { isActive(it, Scope.Fleet, now) }
        val mean = active.sumOf { fleetLevel(it, now) * share(it.owner) } / active.sumOf { share(it.owner) }
        return if (mean > 0) fleetLevel(queue, now) / mean - 1 else 0.0
    }

    /**
     * Returns whether the owner of [queue] may take one more slot. While an owner that waits only at peers lacks slots,
     * an owner above its share gains none, because it would take the slots left for the other one. This ends when a
     * slot has stayed free for [YIELD_TIMEOUT].
     */
    fun mayStart(queue: OwnerQueue, now: Instant): Boolean =
        meter.account(pool, queue.owner).ownRunning < queue.slotLimit || now - idleSince >= YIELD_TIMEOUT

    /** Records whether a selection with [free] slots has [started] a request. */
    fun recordSelection(free: Int, started: Boolean, now: Instant) {
        if (free <= 0 || started) idleSince = Instant.DISTANT_FUTURE else idleSince = minOf(idleSince, now)
    }

    /** Returns how many of the [free] slots are not left to peers. */
    fun usable(free: Int, now: Instant): Int {
        freedSlots = min(freedSlots, max(0, free))
        yieldedSlots = if (now - lastYield > YIELD_TIMEOUT) 0 else min(yieldedSlots, max(0, free - freedSlots))
        return free - yieldedSlots
    }

    /** Leaves one more free slot to peers. */
    fun yieldSlot(now: Instant) {
        yieldedSlots++
        freedSlots = max(0, freedSlots - 1)
        lastYield = now
        yieldBudget -= 1
    }

    /** Records that a request of this entry has [taken] a slot or has freed one. */
    fun recordSlotChange(taken: Boolean) {
        freedSlots = if (taken) max(0, freedSlots - 1) else freedSlots + 1
    }

    private fun normalise(now: Instant) {
        val activeHere = owners.values.filter { isActive(it, Scope.Entry, now) }
        val shareSum = activeHere.sumOf { share(it.owner) }
        val scale = activeHere.sumOf { share(it.owner) * it.correction } / max(shareSum, Double.MIN_VALUE)
        activeHere.forEach {
            it.correction = (it.correction / scale).coerceIn(1 / MAX_CORRECTION, MAX_CORRECTION)
        }
    }

    private fun activity(queue: OwnerQueue, scope: Scope): OwnerActivity =
        if (scope == Scope.Entry) queue.local else queue.fleet

    private fun weight(queue: OwnerQueue, scope: Scope): Double =
        share(queue.owner) * if (scope == Scope.Entry) queue.correction else 1.0

    private fun usage(queue: OwnerQueue, scope: Scope, now: Instant): Double {
        val account = meter.account(pool, queue.owner)
        val measured = if (scope == Scope.Entry) account.ownUsage(now) else account.usage(now)
        return measured + activity(queue, scope).adjustment.value(now)
    }

    private fun isActive(queue: OwnerQueue, scope: Scope, now: Instant): Boolean =
        queue.size > 0 || now - activity(queue, scope).lastWaiting <= ACTIVITY_TIMEOUT

    private fun activate(queue: OwnerQueue, scope: Scope, now: Instant) {
        if (isActive(queue, scope, now)) return
        val others = owners.values.filter { isActive(it, scope, now) }
        val weights = others.sumOf { weight(it, scope) }
        if (weights > 0) raiseUsage(queue, scope, others.sumOf { usage(it, scope, now) } / weights, now)
    }

    private fun raiseUsage(queue: OwnerQueue, scope: Scope, level: Double, now: Instant) {
        val missing = level * weight(queue, scope) - usage(queue, scope, now)
        if (missing > 0) activity(queue, scope).adjustment.add(missing, now)
    }

    private enum class Scope { Entry, Fleet }
}
