package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The order in which waiting steps get room.
 *
 * Serving tasks go first: their users wait all the time. Among batch work, jobs that can still meet their objective
 * go before those that cannot, and jobs within their team's entitlement before those beyond it. Then the least slack
 * goes first.
 *
 * @property kind 0 for long-running, 1 for batch, 2 for tasks that use spare capacity
 */
internal data class Rank(
    val kind: Int,
    val priority: Int,
    val beyondEntitlement: Boolean,
    val hopeless: Boolean,
    val slack: Duration,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int =
        compareValuesBy(
            this,
            other,
            { it.kind },
            { it.priority },
            { it.beyondEntitlement },
            { it.hopeless },
            { it.slack },
        )
}

/** Returns the rank of a step that has waiting tasks. */
internal fun rankOf(
    row: StepRow,
    queue: QueueSettings?,
    beyondEntitlement: Boolean,
    now: Instant,
    wall: Instant,
): Rank {
    val kind =
        when {
            row.step.usesSpareCapacity -> 2
            row.step.longRunning -> 0
            else -> 1
        }
    if (kind != 1) {
        val since = row.tasks.filter { it.phase == TaskPhase.Ready }.minOfOrNull { it.readySince } ?: now
        return Rank(kind, queue?.priority ?: 0, false, false, since - now)
    }
    val job = row.job.job
    val due = job.repetition?.due(row.occurrence) ?: job.acceptedAt
    val objective = job.longestChain * (queue?.slackFactor ?: 1.0) + (queue?.targetLatency ?: Duration.ZERO)
    val slack = due + objective - wall - remainingChain(row)
    return Rank(kind, queue?.priority ?: 0, beyondEntitlement, slack < Duration.ZERO, slack)
}

/** Declared run time from the start of [row] to the end of its occurrence. */
private fun remainingChain(row: StepRow): Duration {
    val steps = row.job.job.steps
    val from = MutableList(steps.size) { if (it == row.number) steps[it].estimate else Duration.ZERO }
    for (number in row.number + 1 until steps.size) {
        val before = steps[number].dependencies.maxOfOrNull { from.getOrElse(it) { Duration.ZERO } }
        if (before != null && before > Duration.ZERO) from[number] = before + steps[number].estimate
    }
    return from.max()
}
