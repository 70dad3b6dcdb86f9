package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/** Classes of batch jobs by progress and remaining slack; earlier classes are scheduled first. */
internal enum class Urgency { InProgress, AmpleSlack, LowSlack, Late }

/** Fraction of its initial slack below which a job that has not begun counts as [Urgency.LowSlack]. */
private const val LOW_SLACK_SHARE: Double = 0.25

/**
 * Order in which waiting steps are scheduled.
 *
 * Long-running tasks come first, because their users wait for as long as a task is missing. Batch jobs within their
 * team's entitlement come before those beyond it. Under overload, scheduling the least slack first would make every job
 * late; therefore jobs that have begun are finished first, followed by jobs with ample slack, then those with low
 * slack, and last those that are already late.
 *
 * @property kind 0 for long-running steps, 1 for batch steps, 2 for steps that use spare capacity
 * @property slack time that remains until the job can no longer meet its objective; for other kinds than batch, the
 * negative waiting time
 */
internal data class Rank(
    val kind: Int,
    val priority: Int,
    val exceedsEntitlement: Boolean,
    val urgency: Urgency,
    val slack: Duration,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int =
        compareValuesBy(
            this,
            other,
            { it.kind },
            { it.priority },
            { it.exceedsEntitlement },
            { it.urgency },
            { it.slack },
        )
}

/** Returns the rank of a step that has ready tasks. */
internal fun rankOf(
    row: StepRow,
    queue: JobQueueSettings?,
    exceedsEntitlement: Boolean,
    now: Instant,
    wallTime: Instant,
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
        return Rank(kind, priority, false, Urgency.InProgress, since - now)
    }
    val job = row.job.job
    val due = job.repetition?.dueTime(row.occurrence) ?: job.acceptedAt
    val objective = job.criticalPath * (queue?.slackFactor ?: 1.0) + (queue?.targetLatency ?: Duration.ZERO)
    val slack = due + objective - wallTime - row.remainingCriticalPath
    return Rank(kind, priority, exceedsEntitlement, urgencyOf(row, slack, objective - job.criticalPath), slack)
}

private fun urgencyOf(row: StepRow, slack: Duration, initialSlack: Duration): Urgency =
    when {
        slack < Duration.ZERO -> Urgency.Late
        row.job.hasBegun(row.occurrence) -> Urgency.InProgress
        slack < initialSlack * LOW_SLACK_SHARE -> Urgency.LowSlack
        else -> Urgency.AmpleSlack
    }

/** Returns the declared run time from the start of step [first] of [steps] to the end of the last one. */
internal fun remainingCriticalPath(steps: List<Step>, first: Int): Duration {
    val from = MutableList(steps.size) { if (it == first) steps[it].estimate else Duration.ZERO }
    for (number in first + 1 until steps.size) {
        val before = steps[number].dependencies.maxOfOrNull { from.getOrElse(it) { Duration.ZERO } }
        if (before != null && before > Duration.ZERO) from[number] = before + steps[number].estimate
    }
    return from.max()
}
