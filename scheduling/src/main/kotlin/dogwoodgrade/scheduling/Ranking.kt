package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/** How likely a job still meets its objective. */
internal enum class Urgency { Begun, Comfortable, Tight, Late }

/** Part of a job's first slack below which a job that has not begun is tight. */
private const val TIGHT_SHARE: Double = 0.25

/**
 * The order in which waiting steps get room.
 *
 * Serving tasks go first: their users wait all the time. Among batch work, jobs within their team's entitlement go
 * before those beyond it. Under overload, serving the least slack first would make every job late; so jobs that have
 * begun are finished first, then come jobs with some slack, then tight ones, and those that are late anyway come last.
 *
 * @property kind 0 for long-running, 1 for batch, 2 for tasks that use spare capacity
 */
internal data class Rank(
    val kind: Int,
    val priority: Int,
    val beyondEntitlement: Boolean,
    val urgency: Urgency,
    val slack: Duration,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int =
        compareValuesBy(
            this,
            other,
            { it.kind },
            { it.priority },
            { it.beyondEntitlement },
            { it.urgency },
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
    val priority = queue?.priority ?: 0
    if (kind != 1) {
        val since = row.tasks.filter { it.phase == TaskPhase.Ready }.minOfOrNull { it.readySince } ?: now
        return Rank(kind, priority, false, Urgency.Begun, since - now)
    }
    val job = row.job.job
    val due = job.repetition?.due(row.occurrence) ?: job.acceptedAt
    val objective = job.longestChain * (queue?.slackFactor ?: 1.0) + (queue?.targetLatency ?: Duration.ZERO)
    val slack = due + objective - wall - remainingChain(row)
    return Rank(kind, priority, beyondEntitlement, urgencyOf(row, slack, objective - job.longestChain), slack)
}

private fun urgencyOf(row: StepRow, slack: Duration, firstSlack: Duration): Urgency =
    when {
        slack < Duration.ZERO -> Urgency.Late
        row.job.begun(row.occurrence) -> Urgency.Begun
        slack < firstSlack * TIGHT_SHARE -> Urgency.Tight
        else -> Urgency.Comfortable
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
