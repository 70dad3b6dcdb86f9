package dogwoodgrade.shares

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Numbers of requests of one team at this entry, over all pools. */
public data class TeamDemand(
    public val waiting: Int,
    public val running: Int,
)

/** Time by which a stopping instance is expected to be replaced behind the platform's load balancer. */
private val STOPPING_RETRY_AFTER = 1.seconds

/**
 * All queues of an entry, with the usage that decides which owner starts next.
 *
 * One lock guards the table, number 3 in the lock order of the entry process. Functions that the caller passes are
 * called without the lock held, so they may acquire any lock.
 *
 * A request is in the table from [offer] until [cancel], [expire] or [drain] returns it, [takeNext] refuses it, or
 * [end] is called after [takeNext] has taken it. Each request leaves the table exactly once.
 *
 * An entry is not notified when a slot that it left to a peer stays free: call [takeNext] for every pool with free
 * slots at least every 100 ms.
 */
public class QueueTable(
    private val settings: QueueSettings = QueueSettings(),
    private val policy: SelectionPolicy = leastUsagePerShare,
) {
    private val lock = ReentrantLock()
    private val meter = UsageMeter()
    private val queues = LinkedHashMap<PoolName, FairQueue>()
    private val poolOf = HashMap<RequestIdentifier, PoolName>()
    private var shares: Map<QueueOwner, Double> = emptyMap()
    private var closed = false

    /** Sets the shares of all owners, for all pools; an owner without one has share 1. */
    public fun configure(shares: Map<QueueOwner, Double>) {
        require(shares.values.all { it > 0 && it.isFinite() }) { "a share is not a positive number: $shares" }
        lock.withLock {
            this.shares = shares.toMap()
            queues.values.forEach { it.configure(this.shares) }
        }
    }

    /**
     * Queues [request], or refuses it: with `QueueFull` and a retry time, `DeadlineTooShort` if it could not finish in
     * time even if it started now, `Stopping` after [close], or `MalformedRequest` if its identifier is already in the
     * table.
     */
    public fun offer(request: WaitingRequest, now: Instant): OfferResult =
        lock.withLock {
            when {
                closed -> refused(request.identifier, ResultCode.Stopping)
                request.identifier in poolOf -> refused(request.identifier, ResultCode.MalformedRequest)
                else ->
                    queue(request.pool).offer(request, now).also {
                        if (it == OfferResult.Queued) poolOf[request.identifier] = request.pool
                    }
            }
        }

    /** Removes and returns a waiting request in amortised constant time; returns `null` if it does not wait. */
    public fun cancel(identifier: RequestIdentifier, now: Instant): WaitingRequest? =
        lock.withLock {
            poolOf[identifier]?.let { queues.getValue(it).cancel(identifier, now) }?.also { poolOf.remove(identifier) }
        }

    /** Removes and refuses every waiting request that cannot finish by its deadline. */
    public fun expire(now: Instant): List<Refusal> = lock.withLock { release(queues.values.flatMap { it.expire(now) }) }

    /**
     * Takes the next request of [pool] to start, given the [free] slots. Its slot time counts from now on.
     *
     * [permit] returns whether a permit of a team is available. It must not acquire one, because it is also called for
     * teams that are then not chosen; it is called without the lock held and at most once per team. A team without a
     * permit keeps its place. The caller acquires the permit for the returned request, and calls [requeue] if the
     * permit is no longer available.
     */
    public fun takeNext(pool: PoolName, now: Instant, free: FreeSlots, permit: (TeamName) -> Boolean): TakeResult {
        val permits = HashMap<QueueOwner, Boolean>()
        val refusals = ArrayList<Refusal>()
        while (true) {
            val attempt = lock.withLock { tryTake(pool, now, free, permits, refusals) }
            val team = attempt.team ?: return TakeResult(attempt.started, refusals)
            permits[team] = permit(team.name)
        }
    }

    /** Puts a taken request that did not run back at the head of its queue, for example after a busy response. */
    public fun requeue(identifier: RequestIdentifier, now: Instant): OfferResult =
        lock.withLock {
            val queue = poolOf[identifier]?.let { queues.getValue(it) }
            if (queue != null && queue.requeue(identifier, now)) {
                OfferResult.Queued
            } else {
                refused(identifier, ResultCode.MalformedRequest)
            }
        }

    /** Ends a taken request; returns whether [identifier] was one. */
    public fun end(identifier: RequestIdentifier, end: RunEnd, now: Instant): Boolean =
        lock.withLock {
            val ended = poolOf[identifier]?.let { queues.getValue(it).end(identifier, end, now) } != null
            if (ended) poolOf.remove(identifier)
            ended
        }

    /** Refuses new requests from now on; requests in the table stay. */
    public fun close(): Unit = lock.withLock { closed = true }

    /** Closes the table, and removes and refuses all waiting requests. */
    public fun drain(now: Instant): List<Refusal> =
        lock.withLock {
            closed = true
            release(queues.values.flatMap { it.drain(now) })
        }

    /** Rebalances the queues, drops idle accounts and returns a snapshot of the entry's own use, for gossip. */
    public fun snapshot(now: Instant): UsageSnapshot =
        lock.withLock {
            queues.values.forEach { queue ->
                queue.rebalance(now)
                queue.prune(now)
            }
            meter.snapshot(now) { pool, owner -> queues[pool]?.waitingForSlot(owner) ?: 0 }
        }

    /** Applies the [snapshot] of [peer], taken at [takenAt] by this entry's clock; returns `false` for an old one. */
    public fun report(peer: EntryIdentity, snapshot: UsageSnapshot, takenAt: Instant, now: Instant): Boolean =
        lock.withLock {
            meter.report(peer, snapshot, takenAt, now).also { used ->
                if (used) {
                    snapshot.rows
                        .map { it.pool }
                        .toSet()
                        .forEach { queue(it).recordReports(now) }
                }
            }
        }

    /** Drops the reports of [peer]; to be called when it has left or ended. */
    public fun forget(peer: EntryIdentity, now: Instant): Unit = lock.withLock { meter.forget(peer, now) }

    /** Returns the fleet-wide recent usage of [pool] by [owner], in slot-seconds. */
    public fun usage(pool: PoolName, owner: QueueOwner, now: Instant): Double =
        lock.withLock { meter.usage(pool, owner, now) }

    /** Returns the demand of each team, for the planning of permits. */
    public fun demand(): Map<TeamName, TeamDemand> =
        lock.withLock {
            val waiting = queues.values
                .flatMap { it.counts() }
                .groupingBy { it.owner }
                .fold(0) { sum, count -> sum + count.waiting }
            val running = queues.values
                .flatMap { it.runningOwners() }
                .groupingBy { it }
                .eachCount()
            (waiting.keys + running.keys).filterIsInstance<QueueOwner.Team>().associate {
                it.name to TeamDemand(waiting[it] ?: 0, running[it] ?: 0)
            }
        }

    /** Returns the length of every queue, for metrics. */
    public fun counts(): List<QueueCount> = lock.withLock { queues.values.flatMap { it.counts() } }

    /** Either the result, or the [team] for which the caller has to look up a permit before another attempt. */
    private class TakeAttempt(val started: WaitingRequest?, val team: QueueOwner.Team?)

    private fun tryTake(
        pool: PoolName,
        now: Instant,
        free: FreeSlots,
        permits: Map<QueueOwner, Boolean>,
        refusals: MutableList<Refusal>,
    ): TakeAttempt {
        val queue = queues[pool] ?: return TakeAttempt(null, null)
        val denied = permits.filterValues { !it }.keys
        denied.forEach(queue::recordPermitDenied)
        while (true) {
            val choice = queue.choose(now, free, denied) ?: return TakeAttempt(null, null)
            val owner = choice.owner
            if (owner is QueueOwner.Team && owner !in permits) return TakeAttempt(null, owner)
            val tooLate = ArrayList<Refusal>()
            val request = queue.take(choice, now, tooLate)
            refusals += release(tooLate)
            if (request != null) return TakeAttempt(request, null)
        }
    }

    private fun queue(pool: PoolName): FairQueue =
        queues.getOrPut(pool) { FairQueue(pool, settings, meter, policy).also { it.configure(shares) } }

    private fun release(refusals: List<Refusal>): List<Refusal> =
        refusals.onEach { poolOf.remove(it.identifier) }

    private fun refused(identifier: RequestIdentifier, code: ResultCode): OfferResult {
        val retryAfter = if (code == ResultCode.Stopping) STOPPING_RETRY_AFTER else null
        return OfferResult.Refused(Refusal(identifier, code, retryAfter))
    }
}
