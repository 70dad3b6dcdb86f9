package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/** Phase of a task's execution. */
internal enum class TaskPhase { Waiting, Ready, Active, Done }

/**
 * Phase of a run as known to this owner.
 *
 * The start of a [Planned] run is not ordered yet. [Inherited] runs were ordered by an earlier owner. The start of a
 * [Starting] run has been ordered but not answered.
 */
internal enum class RunPhase { Planned, Inherited, Starting, Running, Stopping }

/**
 * A run that exists or may exist on an executor.
 *
 * @property startDeadline time on the clock of [orderedFrom] after which an unanswered start is no longer executed
 * @property orderedFrom incarnation of the executor that the start was meant for, or `null` if this owner has not
 * ordered it
 * @property inTransit whether the call of the start has not ended, so that it may still reach an executor
 * @property confirmedAt time at which the executor confirmed the run, or `null` while the start is unanswered
 * @property confirmedBy incarnation that confirmed the run, or `null` if it is not known
 * @property stopAcceptance answer to a stop of the run, or `null` if there is none
 * @property listedAt time of the newest listing that shows the run as running
 * @property percent last reported progress, or -1 before the first report
 * @property percentSince time at which [percent] last changed
 * @property measurement last reported value of [ListedRun.measurement]
 * @property pace percentage of its full speed at which the run may work
 */
internal data class ActiveRun(
    val executor: ExecutorIdentifier,
    val run: Long,
    val startedAt: Instant,
    var startDeadline: Duration,
    var phase: RunPhase,
    var orderedFrom: Long? = null,
    var inTransit: Boolean = false,
    var confirmedAt: Instant? = null,
    var confirmedBy: Long? = null,
    var stopAcceptance: StopAcceptance? = null,
    var listedAt: Instant? = null,
    var stopSentAt: Instant? = null,
    var stopReason: StopReason? = null,
    var checkpoint: String = "",
    var percent: Int = -1,
    var percentSince: Instant = startedAt,
    var measurement: Double = 0.0,
    var pace: Int = 100,
    var paceSentAt: Instant? = null,
) {
    /**
     * Returns whether the start is unanswered and was meant for an earlier incarnation than [incarnation], which may
     * still execute it: its deadline refers to another clock.
     */
    fun isStaleOrder(incarnation: Long): Boolean =
        confirmedAt == null && orderedFrom.let { it != null && it != incarnation }

    /** Returns whether the run existed in an earlier incarnation than [incarnation], with which it ended. */
    fun endedBefore(incarnation: Long): Boolean = confirmedBy.let { it != null && it < incarnation }
}

/** The acceptance of a stop by an [incarnation] of an executor, which rejects every later start of the run. */
internal data class StopAcceptance(
    val incarnation: Long,
    val acceptedAt: Instant,
)

/** A task with its execution state. */
internal data class TaskRow(
    val name: TaskName,
    var phase: TaskPhase = TaskPhase.Waiting,
    var active: ActiveRun? = null,
    var failedRuns: FailedRuns = FailedRuns(),
    var checkpoint: String = "",
    var notBefore: Instant = Instant.DISTANT_PAST,
    var readySince: Instant = Instant.DISTANT_PAST,
    var lastRun: Long = 0,
    var lastFailedOn: ExecutorIdentifier? = null,
    var abandoned: StartedRun? = null,
)

/** A step of one occurrence of a job. Instances are compared by identity. */
internal class StepRow(
    val job: JobRow,
    val occurrence: Int,
    val number: Int,
    val step: Step,
) {
    val tasks: List<TaskRow> =
        List(step.count) { TaskRow(TaskName(job.job.identifier, occurrence, number, it)) }
    var tickets: Map<ExecutorIdentifier, Ticket> = emptyMap()
    var adviceRequestedAt: Instant? = null

    /** Declared run time from the start of this step to the end of its occurrence. */
    val remainingCriticalPath: Duration = remainingCriticalPath(job.job.steps, number)

    val completed: Boolean
        get() = tasks.all { it.phase == TaskPhase.Done }

    val hasReady: Boolean
        get() = tasks.any { it.phase == TaskPhase.Ready }
}

/** Permission of the advisory service to run one step on one executor. */
internal data class Ticket(
    val text: String,
    val validUntil: Instant,
)

/** A job with its execution state. Instances are compared by identity. */
internal class JobRow(
    val job: Job,
) {
    val steps: MutableMap<Int, List<StepRow>> = sortedMapOf()
    var state: JobState = JobState.Queued
    var endedAt: Instant? = null

    val ended: Boolean
        get() = state.ended

    /** Returns whether a task of [occurrence] is active or has completed. */
    fun hasBegun(occurrence: Int): Boolean =
        steps[occurrence].orEmpty().any { step ->
            step.tasks.any { it.phase == TaskPhase.Active || it.phase == TaskPhase.Done }
        }

    fun task(name: TaskName): TaskRow? =
        steps[name.occurrence]?.getOrNull(name.step)?.tasks?.getOrNull(name.index)

    fun allTasks(): Sequence<TaskRow> = steps.values
        .asSequence()
        .flatten()
        .flatMap { it.tasks }

    fun progress(): JobProgress {
        val completed = mutableSetOf<TaskPosition>()
        val failures = mutableMapOf<TaskPosition, FailedRuns>()
        val started = mutableMapOf<TaskPosition, StartedRun>()
        val abandoned = mutableMapOf<TaskPosition, StartedRun>()
        val checkpoints = mutableMapOf<TaskPosition, String>()
        for (row in allTasks()) {
            val position = row.name.position
            row.active?.let { started[position] = StartedRun(it.executor, it.run) }
            row.abandoned?.let { abandoned[position] = it }
            if (ended) continue
            if (row.phase == TaskPhase.Done) completed += position
            if (row.failedRuns.count > 0) failures[position] = row.failedRuns
            if (row.checkpoint.isNotEmpty() && row.phase != TaskPhase.Done) checkpoints[position] = row.checkpoint
        }
        return JobProgress(state, completed, failures, checkpoints, started, abandoned)
    }
}
