package dogwoodgrade.scheduling

import kotlin.time.Duration

/*
 * Limits of jobs. The owner keeps a row for each task and records its progress, so that a job without limits exhausts
 * the memory or the log. [ProgressLayout] divides the progress, so that no job exceeds a record of the log.
 */

/** Most steps of a job; the time to rank a job grows with their square. */
private const val MOST_STEPS = 256

/** Most tasks of one occurrence. */
internal const val MOST_TASKS = 3_000L

/** Most tasks of all occurrences. */
private const val MOST_TASKS_OF_ALL_OCCURRENCES = 15_000L

/** Longest identifier of a job, which becomes part of keys with at most 255 bytes. */
private const val LONGEST_JOB_IDENTIFIER = 64

/** Returns the identifier of a job that [text] stands for, or `null` if it is not one. */
public fun jobIdentifierOrNull(text: String): JobIdentifier? =
    JobIdentifier(text).takeIf { text.length in 1..LONGEST_JOB_IDENTIFIER && text.all { it in identifierCharacters } }

/** Letters, digits, '-' and '_': names of tasks and records separate their parts by other characters. */
private val identifierCharacters: Set<Char> = (('a'..'z') + ('A'..'Z') + ('0'..'9') + '-' + '_').toSet()

/** Returns whether a job of [steps] is valid and within the limits. */
public fun isWithinLimits(steps: List<Step>, repetition: Repetition?): Boolean {
    if (steps.size !in 1..MOST_STEPS || !steps.all { isPlausible(it) }) return false
    if (repetition != null && (repetition.occurrences < 1 || repetition.interval.isNegative())) return false
    val tasks = steps.sumOf { it.count.toLong() }
    return tasks <= MOST_TASKS && tasks * (repetition?.occurrences ?: 1) <= MOST_TASKS_OF_ALL_OCCURRENCES
}

private fun isPlausible(step: Step): Boolean =
    step.count >= 1 &&
        step.request.isPlausible &&
        step.estimate in Duration.ZERO..<Duration.INFINITE &&
        step.dependencies.size <= MOST_STEPS &&
        step.tasksPerExecutor >= 0 &&
        step.unavailabilityBudget >= 0
