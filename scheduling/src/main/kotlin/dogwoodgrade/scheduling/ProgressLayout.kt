package dogwoodgrade.scheduling

/**
 * Number of tasks in one part of a job's progress. A part is one record of the log, and a task takes less than 8,000
 * bytes with the longest names, numbers and checkpoints.
 */
private const val TASKS_PER_PART = 32

/**
 * Division of a job's progress into parts, each with the progress of consecutive tasks. The first part also has the
 * state of the job.
 *
 * Each task is in one part only, so that parts may become durable one after the other: whichever of them a new owner
 * finds, each task is as it was before or after the change.
 */
public class ProgressLayout(
    job: Job,
) {
    /** Number of the first task of each step within its occurrence. */
    private val firstTasks = job.steps.runningFold(0) { sum, step -> sum + step.count }
    private val tasksPerOccurrence = firstTasks.last()

    /** Number of parts. */
    public val partCount: Int = (tasksPerOccurrence * job.occurrences + TASKS_PER_PART - 1) / TASKS_PER_PART

    private fun partOf(position: TaskPosition): Int {
        val task = position.occurrence * tasksPerOccurrence + firstTasks[position.step] + position.index
        return task / TASKS_PER_PART
    }

    /** Returns the parts of [progress] by their number; further parts without content are absent. */
    public fun split(progress: JobProgress): Map<Int, JobProgress> {
        val completed = progress.completed.groupBy { partOf(it) }
        val failures = byPart(progress.failures)
        val checkpoints = byPart(progress.checkpoints)
        val started = byPart(progress.started)
        val abandoned = byPart(progress.abandoned)
        val numbers = completed.keys + failures.keys + checkpoints.keys + started.keys + abandoned.keys + 0
        return numbers.associateWith { part ->
            JobProgress(
                if (part == 0) progress.state else JobState.Queued,
                completed[part].orEmpty().toSet(),
                failures[part].orEmpty(),
                checkpoints[part].orEmpty(),
                started[part].orEmpty(),
                abandoned[part].orEmpty(),
            )
        }
    }

    private fun <T> byPart(values: Map<TaskPosition, T>): Map<Int, Map<TaskPosition, T>> =
        values.entries
            .groupBy { partOf(it.key) }
            .mapValues { (_, entries) -> entries.associate { it.key to it.value } }

    public companion object {
        /** Returns the progress that consists of the [first] part and [further] ones. */
        public fun join(first: JobProgress, further: Collection<JobProgress>): JobProgress {
            val parts = further + first
            return JobProgress(
                first.state,
                parts.flatMapTo(mutableSetOf()) { it.completed },
                union(parts) { it.failures },
                union(parts) { it.checkpoints },
                union(parts) { it.started },
                union(parts) { it.abandoned },
            )
        }

        private fun <T> union(
            parts: List<JobProgress>,
            values: (JobProgress) -> Map<TaskPosition, T>,
        ): Map<TaskPosition, T> = parts.fold(mutableMapOf()) { all, part -> all.apply { putAll(values(part)) } }
    }
}
