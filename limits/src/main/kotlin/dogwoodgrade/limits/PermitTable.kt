package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import dogwoodgrade.model.TeamName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Instant

/** What the entry knows about an attempt to append a report. */
public enum class AppendStatus {
    /** The log confirmed the append. */
    Appended,

    /** The log refused the append, and nothing was appended. */
    NotAppended,

    /** The response was lost; the report may have been appended. */
    Unknown,
}

/**
 * Permits of one entry: how many are in use, how many are reserved for release, and the latest ledger.
 *
 * One lock guards the table, number 2 in the lock order of the entry process; no operation calls other components or
 * waits while it holds the lock. An entry uses only permits that the ledger shows as its own, minus those that an
 * unconfirmed report releases. Open queues need no permits; callers do not use the table for them.
 *
 * @param entry identity of this run of the entry; a new run needs a new table
 * @param policy local policy for moving permits
 */
public class PermitTable(
    private val entry: EntryIdentity,
    private val policy: PermitPolicy = PermitPolicy(),
) {
    private val lock = ReentrantLock()
    private var offset: Offset? = null
    private var local = LocalPermits(entry, PermitLedger())
    private var retained = emptyMap<TeamName, Int>()

    /**
     * Acquires a permit of [team] for one task and returns whether one was available. The caller acquires it before it
     * sends the first byte of the task.
     */
    public fun tryAcquire(team: TeamName): Boolean =
        lock.withLock {
            val running = local.inUse[team] ?: 0
            val acquired = running < usable(team)
            if (acquired) local = local.copy(inUse = local.inUse + (team to running + 1))
            acquired
        }

    /** Returns whether [tryAcquire] would succeed now; acquires nothing. */
    public fun isAvailable(team: TeamName): Boolean = lock.withLock { (local.inUse[team] ?: 0) < usable(team) }

    /**
     * Returns the permit of a task that has ended, or whose task lease has expired.
     *
     * @throws IllegalStateException if no permit of [team] is in use
     */
    public fun release(team: TeamName): Unit =
        lock.withLock {
            val running = checkNotNull(local.inUse[team]) { "no permit of team $team is in use" }
            val others = local.inUse - team
            local = local.copy(inUse = if (running > 1) others + (team to running - 1) else others)
        }

    /**
     * Replaces the ledger by [ledger], the state at offset [at]. Returns `false` and changes nothing if [at] is not
     * larger than the last offset: an older ledger can show permits that have been released since.
     */
    public fun accept(at: Offset, ledger: PermitLedger): Boolean =
        lock.withLock {
            val newer = offset.let { it == null || at > it }
            if (newer) {
                val before = local.ledger
                val sequence = ledger.reportSequences[entry]
                val pending = local.pending?.takeIf { sequence != null && it.report.sequence > sequence }
                offset = at
                local = local.copy(ledger = ledger, pending = pending)
                retained = retained.filterKeys { held(ledger, it) <= held(before, it) }
            }
            newer
        }

    /**
     * Returns the report to append now, or `null` if there is none. Call it on every tick and after each accepted
     * ledger; see [planPermitReport] for the arguments. The caller appends the returned report and then calls
     * [recordAppend] with the result.
     */
    public fun planReport(now: Instant, live: Set<EntryIdentity>, demand: Map<TeamName, Int>): PermitReport? =
        lock.withLock {
            val plan = planPermitReport(local, now, live, demand, policy)
            retained = plan.retained
            plan.report?.let { report ->
                val attempts = (local.pending?.attempts ?: 0) + 1
                local = local.copy(pending = PendingReport(report, attempts, appended = false), lastReport = now)
            }
            plan.report
        }

    /**
     * Records the result of appending the report with [sequence]. A report that was certainly not appended is
     * withdrawn, so the permits that it would have released become usable again. After a second attempt the report
     * stays pending, because the other attempt may have appended it.
     */
    public fun recordAppend(sequence: Long, knowledge: AppendStatus): Unit =
        lock.withLock {
            val pending = local.pending?.takeIf { it.report.sequence == sequence } ?: return
            when (knowledge) {
                AppendStatus.Appended -> local = local.copy(pending = pending.copy(appended = true))
                AppendStatus.NotAppended -> if (pending.attempts == 1) local = local.copy(pending = null)
                AppendStatus.Unknown -> Unit
            }
        }

    /**
     * Begins the graceful shutdown: from now on no permits are taken, and every permit beyond the local demand is
     * released. Waiting requests can still use the permits that the entry holds.
     */
    public fun beginShutdown(): Unit = lock.withLock { local = local.copy(stopping = true) }

    /** Returns whether no task runs and the ledger shows no permits of this entry; then it may append `entry-left`. */
    public fun allPermitsReturned(): Boolean =
        lock.withLock {
            local.inUse.isEmpty() &&
                local.pending == null &&
                local.ledger.teams.values
                    .all { it.heldBy(entry) == 0 }
        }

    /** Returns the current state, for metrics and status pages. */
    public fun snapshot(): LocalPermits = lock.withLock { local }

    private fun usable(team: TeamName): Int {
        val permits = local.ledger.teams[team] ?: return 0
        return minOf(local.owned(team), permits.usableBy(entry), retained[team] ?: Int.MAX_VALUE)
    }

    private fun held(ledger: PermitLedger, team: TeamName): Int = ledger.teams[team]?.heldBy(entry) ?: 0
}
