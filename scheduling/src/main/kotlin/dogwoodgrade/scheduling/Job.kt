package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/** Identifies a job; the caller chooses it. */
@JvmInline
public value class JobIdentifier(public val text: String) {
    override fun toString(): String = text
}

/**
 * One task of a job.
 *
 * @property occurrence number of the occurrence of a repeated job, from 0
 * @property step number of the step, from 0
 * @property index number of the task within its step, from 0
 */
public data class TaskName(
    public val job: JobIdentifier,
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
) {
    /** The task within its job. */
    public val position: TaskPosition
        get() = TaskPosition(occurrence, step, index)

    /** The name as log lines show it: job, occurrence, step and index. */
    public val text: String
        get() = "$job/$occurrence/$step/$index"
}

/**
 * A set of equal tasks of a job.
 *
 * @property estimate declared run time of one task; often far off
 * @property dependencies numbers of the steps whose tasks must all have completed before
 * @property checkpoints tasks save their progress, so that a stopped one can continue elsewhere
 * @property gang tasks work only while all of them run, all with the same run number
 * @property requiredLabel label that an executor must have, or `null`
 * @property preferredRack rack that holds the data, or `null`
 * @property tasksPerExecutor most tasks of the step on one executor, or 0 for no limit
 * @property longRunning tasks run until the job is cancelled and restart however they end
 * @property image what the tasks execute; tasks of one image behave alike
 * @property targetLatency bound on the tail latency of a serving task, or `null`
 * @property usesSpareCapacity the processor request is not counted; tasks use what others leave
 * @property unavailabilityBudget tasks of a long-running step that planned work may make unavailable at once
 * @property speculative a task may run as several copies, of which the first to complete counts
 */
public data class Step(
    public val count: Int,
    public val request: Resources,
    public val estimate: Duration = Duration.ZERO,
    public val dependencies: List<Int> = emptyList(),
    public val checkpoints: Boolean = false,
    public val gang: Boolean = false,
    public val rackLocal: Boolean = false,
    public val requiredLabel: String? = null,
    public val preferredRack: String? = null,
    public val tasksPerExecutor: Int = 0,
    public val longRunning: Boolean = false,
    public val image: String? = null,
    public val targetLatency: Duration? = null,
    public val usesSpareCapacity: Boolean = false,
    public val unavailabilityBudget: Int = 0,
    public val speculative: Boolean = false,
) {
    /** What a task takes from an executor's capacity. */
    public val reserved: Resources = if (usesSpareCapacity) request.copy(processor = 0) else request
}

/**
 * When a repeated job is due.
 *
 * @property occurrences how often the steps run, at least 1
 * @property start time of the first occurrence
 */
public data class Repetition(
    public val occurrences: Int,
    public val start: Instant,
    public val interval: Duration,
) {
    /** Returns when [occurrence] is due. */
    public fun due(occurrence: Int): Instant = start + interval * occurrence
}

/**
 * An accepted job.
 *
 * @property queue name of the queue that accepted it
 * @property pool pool whose executors run it
 * @property team customer that pays for it, or `null` for a queue that is open to all
 * @property payload opaque text that each of its tasks receives
 * @property acceptedAt time of day at the entry instance that accepted it
 */
public data class Job(
    public val identifier: JobIdentifier,
    public val queue: String,
    public val pool: String,
    public val team: String?,
    public val payload: String,
    public val steps: List<Step>,
    public val repetition: Repetition?,
    public val acceptedAt: Instant,
) {
    /** Number of times the steps run. */
    public val occurrences: Int
        get() = repetition?.occurrences ?: 1

    /** Whether any of its steps runs until the job is cancelled. */
    public val longRunning: Boolean = steps.any { it.longRunning }

    /** Declared run time of the longest chain of dependent steps. */
    public val longestChain: Duration = longestChain(steps)
}

private fun longestChain(steps: List<Step>): Duration {
    val ends = mutableListOf<Duration>()
    for (step in steps) {
        val start = step.dependencies.mapNotNull { ends.getOrNull(it) }.maxOrNull() ?: Duration.ZERO
        ends += start + step.estimate
    }
    return ends.maxOrNull() ?: Duration.ZERO
}

/** What callers are told about a job. */
public enum class JobState {
    Queued,
    Active,
    Completed,
    Failed,
    Cancelled,
    ;

    /** Whether nothing of the job starts any more. */
    public val ended: Boolean
        get() = this != Queued && this != Active
}

/**
 * What is durable of a job's execution.
 *
 * A run is part of it before its start is ordered, so that a new owner knows every run that may exist.
 *
 * @property completed tasks that have completed, while the job has not ended
 * @property failures numbers of the failed runs per task; tasks without failures are absent
 * @property checkpoints newest checkpoint per task that is not running
 * @property started runs that exist or may exist
 * @property abandoned runs that may exist beside the one in [started], of speculative tasks
 */
public data class JobProgress(
    public val state: JobState = JobState.Queued,
    public val completed: Set<TaskPosition> = emptySet(),
    public val failures: Map<TaskPosition, Set<Long>> = emptyMap(),
    public val checkpoints: Map<TaskPosition, String> = emptyMap(),
    public val started: Map<TaskPosition, StartedRun> = emptyMap(),
    public val abandoned: Map<TaskPosition, StartedRun> = emptyMap(),
)

/** A run whose start was ordered, or is about to be. */
public data class StartedRun(
    public val executor: ExecutorIdentifier,
    public val run: Long,
)

/** A task within its job. */
public data class TaskPosition(
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
)
