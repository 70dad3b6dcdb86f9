package dogwoodgrade.scheduling

import kotlin.time.Instant

/**
 * Starts that this owner has ordered from one executor, as far as they may have given grants to another incarnation
 * than the one that they were meant for.
 *
 * A start names the executor only, and its deadline extends the grant of whichever incarnation executes it. To a later
 * incarnation, whose clock has started anew, the deadline is in the far future, so that its grant lasts for the longest
 * grant from the execution on. An answered start has been executed; one without an answer may be for some time.
 */
internal class OrderedStarts(
    private val policy: SchedulingPolicy,
) {
    /** Starts without an answer, with the time at which their call ended, or `null` as long as it has not. */
    private val unanswered = mutableMapOf<OrderedStart, Instant?>()

    /** Time of the last answer to a start, by the incarnation that the start was meant for. */
    private val answeredAt = mutableMapOf<Long, Instant>()

    /** Number of starts without an answer. */
    val unansweredCount: Int get() = unanswered.size

    /** Records that [run] of [task] is ordered now from [incarnation]. */
    fun add(task: TaskName, run: Long, incarnation: Long, now: Instant) {
        unanswered.values.removeAll { it != null && latestGrantEnd(latestExecution(it)) < now }
        answeredAt.values.removeAll { latestGrantEnd(it) < now }
        unanswered[OrderedStart(task, run, incarnation)] = null
    }

    /** Records the [outcome] of the start of [run] of [task], whose call has ended. */
    fun recordOutcome(task: TaskName, run: Long, outcome: StartOutcome, now: Instant) {
        val start = unanswered.keys.firstOrNull { it.task == task && it.run == run } ?: return
        if (outcome is StartOutcome.Unknown) {
            unanswered[start] = now
            return
        }
        unanswered -= start
        val executed = outcome !is StartOutcome.Rejected || outcome.reason !in NEVER_EXECUTED
        if (executed && outcome.incarnation != start.incarnation) answeredAt[start.incarnation] = now
    }

    /** Returns the latest time until which a start that was meant for an earlier one may grant [incarnation] to run. */
    fun grantsUntil(incarnation: Long, now: Instant): Instant {
        val executions =
            unanswered.filterKeys { it.incarnation < incarnation }.values.map { latestExecution(it ?: now) } +
                answeredAt.filterKeys { it < incarnation }.values
        return executions.maxOrNull()?.let { latestGrantEnd(it) } ?: Instant.DISTANT_PAST
    }

    private fun latestExecution(callEndedAt: Instant): Instant = callEndedAt + policy.longestOrderDelay

    private fun latestGrantEnd(executedAt: Instant): Instant = executedAt + policy.longestGrantOnSlowClock

    private data class OrderedStart(
        val task: TaskName,
        val run: Long,
        val incarnation: Long,
    )

    private companion object {
        /** Rejections that do not come from the executor, whose grant is as it was. */
        val NEVER_EXECUTED = setOf(StartRejection.NotSent, StartRejection.OtherExecutor)
    }
}
