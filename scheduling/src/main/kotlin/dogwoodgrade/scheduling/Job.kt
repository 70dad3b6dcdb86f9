package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/** Identifies a job; chosen by the caller. */
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
    /** Position of the task within its job. */
    public val position: TaskPosition
        get() = TaskPosition(occurrence, step, index)

    /** Form used in log lines: job, occurrence, step and index, separated by slashes. */
    public val text: String
        get() = "$job/$occurrence/$step/$index"
}

/**
 * A set of identical tasks of a job.
 *
 * @property estimate declared run time of one task; often far off
 * @property dependencies numbers of the steps that must be completed before this one starts
 * @property checkpoints whether tasks save their progress, so that a stopped task can resume on another executor
 * @property gang whether tasks make progress only while all of them run, with the same run number
 * @property requiredLabel label that an executor must have, or `null`
 * @property preferredRack rack that holds the input data, or `null`
 * @property tasksPerExecutor maximum number of tasks of the step on one executor, or 0 for no limit
 * @property longRunning whether tasks run until the job is cancelled and are restarted whenever they end
 * @property image what the tasks execute; tasks of the same image behave alike
 * @property targetLatency target for the tail latency of a serving task, or `null`
 * @property usesSpareCapacity whether tasks use only processor time that others leave idle, without reserving any
 * @property unavailabilityBudget number of tasks of a long-running step that planned work may make unavailable at once;
 * 0 for no limit
 * @property speculative whether a task may run as several copies, of which the first to complete counts
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
    /** Resources that a task reserves on its executor. */
    public val reserved: Resources = if (usesSpareCapacity) request.copy(processor = 0) else request
}

/**
 * Schedule of a repeated job.
 *
 * @property occurrences number of times the steps run, at least 1
 * @property start time at which the first occurrence is due
 * @property interval time between two occurrences
 */
public data class Repetition(
    public val occurrences: Int,
    public val start: Instant,
    public val interval: Duration,
) {
    /** Returns the time at which [occurrence] is due. */
    public fun dueTime(occurrence: Int): Instant = start + interval * occurrence
}

/**
 * An accepted job.
 *
 * @property queue name of the queue to which it was submitted
 * @property pool pool whose executors run it
 * @property team customer that is charged for it, or `null` if the queue is open to all
 * @property payload opaque text that is passed to each of its tasks
 * @property acceptedAt wall-clock time at which an entry instance accepted it
 * @property queueSettings settings that the queue had then, or `null` if an earlier version of this program accepted it
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
    public val queueSettings: JobQueueSettings? = null,
) {
    /** Number of times the steps run. */
    public val occurrences: Int
        get() = repetition?.occurrences ?: 1

    /** Whether any of its steps is long-running. */
    public val longRunning: Boolean = steps.any { it.longRunning }

    /** Declared run time of the longest chain of dependent steps. */
    public val criticalPath: Duration = criticalPath(steps)
}

private fun criticalPath(steps: List<Step>): Duration {
    val ends = mutableListOf<Duration>()
    for (step in steps) {
        val start = step.dependencies.mapNotNull { ends.getOrNull(it) }.maxOrNull() ?: Duration.ZERO
        ends += start + step.estimate
    }
    return ends.maxOrNull() ?: Duration.ZERO
}

/** State of a job as reported to callers. */
public enum class JobState {
    /** No executor has confirmed a run of it. Runs may have been planned or ordered. */
    Queued,

    /** An executor has confirmed a run of it. */
    Active,
    Completed,
    Failed,
    Cancelled,
    ;

    /** Whether the job has ended and starts no more tasks. */
    public val ended: Boolean
        get() = this != Queued && this != Active
}

/**
 * Durable part of a job's execution state.
 *
 * A run is recorded here before its start is ordered, so that a new owner knows every run that may exist.
 *
 * @property completed tasks that have completed; empty once the job has ended
 * @property failures failed runs by task; tasks without failures are absent
 * @property checkpoints newest checkpoint recorded for each task
 * @property started runs that exist or may exist
 * @property abandoned earlier runs of speculative tasks that may exist in addition to the one in [started]
 */
public data class JobProgress(
    public val state: JobState = JobState.Queued,
    public val completed: Set<TaskPosition> = emptySet(),
    public val failures: Map<TaskPosition, FailedRuns> = emptyMap(),
    public val checkpoints: Map<TaskPosition, String> = emptyMap(),
    public val started: Map<TaskPosition, StartedRun> = emptyMap(),
    public val abandoned: Map<TaskPosition, StartedRun> = emptyMap(),
) {
    /** Whether it says nothing about any task. */
    public val hasNoTasks: Boolean
        get() = listOf(completed, failures.keys, checkpoints.keys, started.keys, abandoned.keys).all { it.isEmpty() }
}

/** A run whose start has been ordered or is about to be. */
public data class StartedRun(
    public val executor: ExecutorIdentifier,
    public val run: Long,
)

/** Position of a task within its job; see [TaskName]. */
public data class TaskPosition(
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
)
