package dogwoodgrade.shares

import dogwoodgrade.model.RequestClass
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Bounds of the retry time in refusals: callers gain nothing from shorter times and do not wait for longer ones. */
private val MIN_RETRY_AFTER = 1.seconds
private val MAX_RETRY_AFTER = 30.seconds

/** The waiting requests of one owner in one pool, in order of arrival per class. */
internal class OwnerQueue(val owner: QueueOwner) {
    private val lists = RequestClass.entries.associateWith { RequestList() }
    private val deadlines = PriorityQueue<RequestNode>(compareBy { it.request.deadline })
    private val starts = DecayingValue()

    /** Activity of the owner at this entry and fleet-wide. */
    val local = OwnerActivity()
    val fleet = OwnerActivity()

    /** Factor on the owner's weight at this entry that moves its fleet-wide use towards its share. */
    var correction = 1.0

    /** Whether the owner was above its share fleet-wide at the last [ShareBalance.rebalance]. */
    var aboveShare = false

    /** Number of slots in use at this entry at which the owner starts nothing more; see [ShareBalance.mayStart]. */
    var slotLimit = Int.MAX_VALUE
    var lastStart = 0L
    var lacksPermit = false

    val size: Int get() = lists.values.sumOf { it.size }

    /** Number of requests in the deadline heap, removed ones included. */
    val trackedDeadlines: Int get() = deadlines.size

    fun size(requestClass: RequestClass): Int = lists.getValue(requestClass).size

    fun head(urgentOnly: Boolean): RequestNode? =
        lists.getValue(RequestClass.Urgent).first
            ?: lists.getValue(RequestClass.Normal).first.takeUnless { urgentOnly }

    fun add(node: RequestNode, atHead: Boolean) {
        val list = lists.getValue(node.request.requestClass)
        if (atHead) list.addFirst(node) else list.addLast(node)
        deadlines.add(node)
    }

    /** Removes [node] in amortised constant time; the deadline heap drops it later. */
    fun remove(node: RequestNode, now: Instant) {
        lists.getValue(node.request.requestClass).remove(node)
        local.lastWaiting = maxOf(local.lastWaiting, now)
        fleet.lastWaiting = maxOf(fleet.lastWaiting, now)
        if (deadlines.size > 2 * size + COMPACTION_SLACK) {
            val waiting = deadlines.filter { it.list != null }
            deadlines.clear()
            deadlines.addAll(waiting)
        }
    }

    /** Returns a waiting request whose deadline is before [earliestEnd], or `null` if there is none. */
    fun firstDueBefore(earliestEnd: Instant): RequestNode? {
        while (true) {
            val node = deadlines.peek() ?: return null
            if (node.list != null) return node.takeIf { it.request.deadline < earliestEnd }
            deadlines.poll()
        }
    }

    fun waiting(): List<RequestNode> = lists.values.flatMap { list -> generateSequence(list.first) { it.next } }

    fun recordStart(number: Long, now: Instant) {
        lastStart = number
        starts.add(1.0, now)
    }

    /** Returns the time in which the requests now waiting will have been started at the recent rate. */
    fun retryAfter(now: Instant): Duration {
        val perSecond = starts.value(now) / USAGE_TIME_CONSTANT.toDouble(DurationUnit.SECONDS)
        if (perSecond <= 0.0) return MAX_RETRY_AFTER
        return (size / perSecond)
            .coerceAtMost(MAX_RETRY_AFTER.toDouble(DurationUnit.SECONDS))
            .seconds
            .coerceAtLeast(MIN_RETRY_AFTER)
    }

    private companion object {
        /** Size that the deadline heap may reach beyond twice the number of waiting requests before it is rebuilt. */
        const val COMPACTION_SLACK = 64
    }
}

/** When an owner last had waiting requests, and an adjustment of its usage that is set when it becomes active. */
internal class OwnerActivity {
    val adjustment = DecayingValue()
    var lastWaiting: Instant = Instant.DISTANT_PAST
}

/** A number that decays exponentially with [USAGE_TIME_CONSTANT]. */
internal class DecayingValue {
    private var amount = 0.0
    private var updatedAt: Instant? = null

    fun value(now: Instant): Double =
        updatedAt?.let { amount * exp(-(now - it).coerceAtLeast(Duration.ZERO) / USAGE_TIME_CONSTANT) } ?: 0.0

    fun set(value: Double, now: Instant) {
        amount = value
        updatedAt = now
    }

    fun add(value: Double, now: Instant) {
        set(value(now) + value, now)
    }
}
