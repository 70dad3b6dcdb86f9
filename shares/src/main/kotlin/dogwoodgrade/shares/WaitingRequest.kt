package dogwoodgrade.shares

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import kotlin.time.Duration
import kotlin.time.Instant

/** A request that waits for a slot. It has no declared size, because scheduling does not use declared sizes. */
public data class WaitingRequest(
    public val identifier: RequestIdentifier,
    public val pool: PoolName,
    public val owner: QueueOwner,
    public val requestClass: RequestClass,
    public val arrival: Instant,
    /** The time by which the response is to be complete. */
    public val deadline: Instant,
)

/** A request that is refused as not run. [retryAfter] is `null` if a retry cannot help. */
public data class Refusal(
    public val identifier: RequestIdentifier,
    public val code: ResultCode,
    public val retryAfter: Duration? = null,
)

/** Result of [QueueTable.offer] and [QueueTable.requeue]. */
public sealed interface OfferResult {
    /** The request waits in its queue. */
    public data object Queued : OfferResult

    /** The request is not in a queue and will not run. */
    public data class Refused(public val refusal: Refusal) : OfferResult
}

/**
 * Slots of a pool that this entry sees as free.
 *
 * [urgent] counts every slot that urgent work may use, so it contains [normal] and the free part of the reserve.
 */
public data class FreeSlots(
    public val normal: Int,
    public val urgent: Int,
)

/** Result of [QueueTable.takeNext]: the request to start, if any, and the refused requests that were too late. */
public data class TakeResult(
    public val started: WaitingRequest?,
    public val refusals: List<Refusal>,
)

/** How a request that was taken has ended. */
public enum class RunEnd {
    /** It ran to its end; its run time is recorded. */
    Completed,

    /** It ran for some time and failed or was cancelled; its slot time counts, its run time is not recorded. */
    Aborted,

    /** No endpoint has started it; neither its slot time nor its run time counts. */
    NotRun,
}

/** Number of waiting requests of one pool, owner and class. */
public data class QueueCount(
    public val pool: PoolName,
    public val owner: QueueOwner,
    public val requestClass: RequestClass,
    public val waiting: Int,
)

/** Limits of the queues of an entry. */
public data class QueueSettings(
    /** Largest number of waiting requests per pool, owner and class. */
    public val queueBound: Int = 256,
) {
    init {
        require(queueBound > 0) { "queue bound $queueBound is not positive" }
    }
}
