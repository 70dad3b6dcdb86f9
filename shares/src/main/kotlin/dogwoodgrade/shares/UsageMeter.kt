package dogwoodgrade.shares

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.PoolName
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/*
 * Usage is the integral of the slots in use, weighted with exp(-age / 5 s). It grows while a task runs, so a long task
 * counts before it ends. A peer's report also contains the slots in use, which are assumed to stay in use until the
 * next report; otherwise the reported usage would decrease with the age of the report.
 */

/** Time constant of the decay of usage. */
public val USAGE_TIME_CONSTANT: Duration = 5.seconds

/** Age at which slots in a report are no longer assumed to be in use: the time after which a member is suspected. */
private val MAX_ACCRUAL_TIME: Duration = 3.seconds

/** Usage in slot-seconds below which rows are left out of snapshots. */
private const val NEGLIGIBLE_USAGE = 0.01

private const val MILLISECONDS_PER_SECOND = 1_000

/** Time constant of the average of the slots in use; with short tasks, the momentary number varies too much. */
private val AVERAGING_TIME: Duration = 1.seconds

private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

/** Returns [usage] after the time [elapsed], with [running] slots in use during its first part [accrual]. */
private fun advance(
    usage: Double,
    running: Double,
    elapsed: Duration,
    accrual: Duration = elapsed,
    constant: Duration = USAGE_TIME_CONSTANT,
): Double {
    val timeConstant = seconds(constant)
    val elapsedTime = max(0.0, elapsed.toDouble(DurationUnit.SECONDS))
    val busyTime = min(elapsedTime, max(0.0, accrual.toDouble(DurationUnit.SECONDS)))
    val afterBusy = usage * exp(-busyTime / timeConstant) + running * timeConstant * (1 - exp(-busyTime / timeConstant))
    return afterBusy * exp(-(elapsedTime - busyTime) / timeConstant)
}

/** Use of one pool by one owner: measured at this entry and reported by peers. */
internal class UsageAccount(private var total: Double = 0.0) {
    private var ownUsage = 0.0
    private var highestTotal = total
    private var recentUsage = 0.0
    private var ownAt: Instant? = null
    var ownRunning = 0
        private set
    var ownReserve = 0
        private set
    var peers = PeerTotals()

    fun ownUsage(now: Instant): Double = ownAt?.let { advance(ownUsage, ownRunning.toDouble(), now - it) } ?: 0.0

    /** Returns the slots in use at this entry, averaged over about a second. */
    fun ownSlots(now: Instant): Double =
        ownAt?.let {
            advance(recentUsage, ownRunning.toDouble(), now - it, constant = AVERAGING_TIME) /
                seconds(AVERAGING_TIME)
        }
            ?: 0.0

    /** Returns the slot time without decay, in slot-seconds. It does not decrease when unused time is subtracted. */
    fun ownTotal(now: Instant): Double {
        highestTotal = max(highestTotal, totalAt(now))
        return highestTotal
    }

    private fun totalAt(now: Instant): Double = total + ownRunning * (ownAt?.let { max(0.0, seconds(now - it)) } ?: 0.0)

    /** Changes the number of slots in use, and subtracts the time for which one of them was [unused] until now. */
    fun change(now: Instant, slots: Int, reserve: Int, unused: Duration = Duration.ZERO) {
        val time = maxOf(now, ownAt ?: now)
        total = totalAt(time) - seconds(unused)
        recentUsage = ownSlots(time) * seconds(AVERAGING_TIME)
        ownUsage = max(0.0, ownUsage(time) - advance(0.0, 1.0, unused))
        ownAt = time
        ownRunning += slots
        ownReserve += reserve
    }

    fun usage(now: Instant): Double = ownUsage(now) + peers.usage(now)

    /** Returns the slots in use fleet-wide, averaged over about a second. */
    fun slots(now: Instant): Double = ownSlots(now) + peers.slots

    fun isNegligible(now: Instant): Boolean =
        ownRunning == 0 && peers.slots == 0.0 && peers.waiting == 0 && usage(now) < NEGLIGIBLE_USAGE
}

/** Sum of the latest reports of all peers for one pool and owner, extrapolated to [at]. */
internal data class PeerTotals(
    val at: Instant = Instant.DISTANT_PAST,
    val usage: Double = 0.0,
    val slots: Double = 0.0,
    val reserve: Int = 0,
    val waiting: Int = 0,
) {
    fun usage(now: Instant): Double =
        if (at == Instant.DISTANT_PAST) 0.0 else advance(usage, slots, now - at, MAX_ACCRUAL_TIME)
}

/**
 * Measures recent slot time per pool and owner: the entry's own plus what its peers report. Not thread-safe; guarded by
 * the lock of [QueueTable].
 */
public class UsageMeter {
    private class Report(val sequence: Long, val takenAt: Instant, val rows: Map<AccountKey, UsageRow>)

    private data class AccountKey(val pool: PoolName, val owner: QueueOwner)

    private val pools = HashMap<PoolName, LinkedHashMap<QueueOwner, UsageAccount>>()

    /** Totals of pruned accounts, from which they continue: published totals must not decrease. */
    private val prunedTotals = HashMap<AccountKey, Double>()
    private val reports = LinkedHashMap<EntryIdentity, Report>()
    private var sequence = 0L

    /** Records that work of [owner] has started on a slot of [pool], on the urgent reserve if [onReserve]. */
    public fun start(pool: PoolName, owner: QueueOwner, onReserve: Boolean, now: Instant) {
        account(pool, owner).change(now, 1, if (onReserve) 1 else 0)
    }

    /** Records that work started at [startedAt] has freed its slot; its slot time counts only if it [ran]. */
    public fun end(
        pool: PoolName,
        owner: QueueOwner,
        onReserve: Boolean,
        startedAt: Instant,
        ran: Boolean,
        now: Instant,
    ) {
        val unused = if (ran) Duration.ZERO else (now - startedAt).coerceAtLeast(Duration.ZERO)
        account(pool, owner).change(now, -1, if (onReserve) -1 else 0, unused)
    }

    /** Returns the fleet-wide recent usage of [pool] by [owner], in slot-seconds. */
    public fun usage(pool: PoolName, owner: QueueOwner, now: Instant): Double =
        pools[pool]?.get(owner)?.usage(now) ?: 0.0

    /** Returns a snapshot of the entry's own use; [waiting] returns the number of requests that lack only a slot. */
    public fun snapshot(now: Instant, waiting: (PoolName, QueueOwner) -> Int): UsageSnapshot {
        val rows =
            pools.flatMap { (pool, accounts) ->
                accounts.map { (owner, account) ->
                    val usage = account.ownUsage(now)
                    val slotTime = (account.ownTotal(now) * MILLISECONDS_PER_SECOND).toLong()
                    val waitingForSlot = waiting(pool, owner)
                    UsageRow(pool, owner, usage, account.ownSlots(now), account.ownReserve, waitingForSlot, slotTime)
                }
            }
        val kept = rows.filter { it.usage >= NEGLIGIBLE_USAGE || it.slots > NEGLIGIBLE_USAGE || it.waiting > 0 }
        return UsageSnapshot(++sequence, kept)
    }

    /**
     * Replaces the previous report of [peer], unless [snapshot] is not newer. [takenAt] is the time by the receiver's
     * clock less the age of the snapshot. Returns whether the snapshot was applied.
     */
    public fun report(peer: EntryIdentity, snapshot: UsageSnapshot, takenAt: Instant, now: Instant): Boolean {
        val previous = reports[peer]
        if (previous != null && previous.sequence >= snapshot.sequence) return false
        val rows = snapshot.rows.associateBy { AccountKey(it.pool, it.owner) }
        reports[peer] = Report(snapshot.sequence, minOf(takenAt, now), rows)
        (rows.keys + previous?.rows?.keys.orEmpty()).forEach { recomputePeers(it, now) }
        return true
    }

    /** Drops the report of [peer], after it has left or ended. */
    public fun forget(peer: EntryIdentity, now: Instant) {
        reports
            .remove(peer)
            ?.rows
            ?.keys
            ?.forEach { recomputePeers(it, now) }
    }

    /** Removes accounts of [pool] without recent use, unless [keep] returns `true`, to bound the memory. */
    internal fun prune(pool: PoolName, now: Instant, keep: (QueueOwner) -> Boolean) {
        pools[pool]?.entries?.removeIf { (owner, account) ->
            val pruned = !keep(owner) && account.isNegligible(now)
            if (pruned) prunedTotals[AccountKey(pool, owner)] = account.ownTotal(now)
            pruned
        }
    }

    internal fun accounts(pool: PoolName): Map<QueueOwner, UsageAccount> = pools[pool].orEmpty()

    internal fun account(pool: PoolName, owner: QueueOwner): UsageAccount =
        pools.getOrPut(pool) { LinkedHashMap() }.getOrPut(owner) {
            UsageAccount(prunedTotals.remove(AccountKey(pool, owner)) ?: 0.0)
        }

    private fun recomputePeers(key: AccountKey, now: Instant) {
        var totals = PeerTotals(at = now)
        for (report in reports.values) {
            val row = report.rows[key] ?: continue
            val age = now - report.takenAt
            val current = age <= MAX_ACCRUAL_TIME
            totals =
                totals.copy(
                    usage = totals.usage + advance(row.usage, row.slots, age, MAX_ACCRUAL_TIME),
                    slots = totals.slots + if (current) row.slots else 0.0,
                    reserve = totals.reserve + if (current) row.reserve else 0,
                    waiting = totals.waiting + if (current) row.waiting else 0,
                )
        }
        account(key.pool, key.owner).peers = totals
    }
}
