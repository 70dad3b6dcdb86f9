package dogwoodgrade.shares

import dogwoodgrade.model.RequestClass
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Bounds of the retry advice in refusals; callers gain nothing from shorter ones and forget longer ones. */
private val ShortestRetryAfter = 1.seconds
private val LongestRetryAfter = 30.seconds

/** The waiting requests of one owner in one pool, in order of arrival per class. */
internal class OwnerQueue(val owner: QueueOwner) {
    private val lists = RequestClass.entries.associateWith { RequestList() }
    private val deadlines = PriorityQueue<RequestNode>(compareBy { it.request.deadline })
    private val starts = Decayed()

    /** Usage at this entry and fleet-wide, as levels that can be raised. */
    val local = Standing()
    val fleet = Standing()

    /** Correction of the share at this entry, which brings the fleet-wide use to the share. */
    var correction = 1.0

    /** Whether the owner was above its share fleet-wide when the entry last compared. */
    var inExcess = false

    /** Slots in use here above which the owner starts nothing; see [ShareBalance.mayStart]. */
    var ceiling = Int.MAX_VALUE
    var lastStart = 0L
    var lacksPermit = false

    val size: Int get() = lists.values.sumOf { it.size }

    /** Number of entries that the deadline heap holds, with those of removed requests. */
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

    /** Removes [node] in amortised constant time; its place among the deadlines is cleared later. */
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

    fun noteStart(number: Long, now: Instant) {
        lastStart = number
        starts.add(1.0, now)
    }

    /** Returns the time after which a queue of the present length will have been served at the recent pace. */
    fun retryAfter(now: Instant): Duration {
        val perSecond = starts.value(now) / UsageTimeConstant.toDouble(DurationUnit.SECONDS)
        if (perSecond <= 0.0) return LongestRetryAfter
        return (size / perSecond)
            .coerceAtMost(LongestRetryAfter.toDouble(DurationUnit.SECONDS))
            .seconds
            .coerceAtLeast(ShortestRetryAfter)
    }

    private companion object {
        /** Removed requests that the deadline heap may hold beyond twice the waiting ones. */
        const val COMPACTION_SLACK = 64
    }
}

/** When an owner last waited, and an adjustment of its usage that is set when it becomes active. */
internal class Standing {
    val adjustment = Decayed()
    var lastWaiting: Instant = Instant.DISTANT_PAST
}

/** A number that decays with [UsageTimeConstant]. */
internal class Decayed {
    private var amount = 0.0
    private var at: Instant? = null

    fun value(now: Instant): Double =
        at?.let { amount * exp(-(now - it).coerceAtLeast(Duration.ZERO) / UsageTimeConstant) } ?: 0.0

    fun set(value: Double, now: Instant) {
        amount = value
        at = now
    }

    fun add(value: Double, now: Instant) {
        set(value(now) + value, now)
    }
}
