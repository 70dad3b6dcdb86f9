package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * State transitions of jobs and tasks.
 *
 * A run that ended as done completes its task even if another run of the task is believed to be active; that other run
 * is stopped.
 */
internal class JobTransitions(
    private val tables: FleetTables,
    private val policy: SchedulingPolicy,
) {
    /**
     * Jobs that are not in the tables because they ended under earlier owners, or were cancelled without having been
     * accepted, with the time at which this owner learned of them.
     */
    private val endedElsewhere = mutableMapOf<JobIdentifier, Instant>()

    fun recordEndedJobs(jobs: Set<JobIdentifier>, now: Instant) = jobs.forEach { endedElsewhere[it] = now }

    fun accept(job: Job, progress: JobProgress?, now: Instant, wallTime: Instant) {
        if (job.identifier in tables.jobs) return
        val row = JobRow(job)
        tables.jobs[job.identifier] = row
        endedElsewhere -= job.identifier
        row.state = progress?.state ?: JobState.Queued
        if (row.ended) row.endedAt = now
        createDueOccurrences(row, wallTime)
        if (progress != null) {
            restore(row, progress, now)
            failIfExhausted(row, now)
        }
        releaseSteps(row, now)
        completeIfDone(row, now)
    }

    private fun restore(row: JobRow, progress: JobProgress, now: Instant) {
        val positions =
            progress.completed + progress.failures.keys + progress.started.keys + progress.abandoned.keys
        positions
            .mapTo(mutableSetOf()) { it.occurrence }
            .filter { it in 0..<row.job.occurrences }
            .forEach { createOccurrence(row, it) }
        for (task in row.allTasks()) {
            val position = task.name.position
            if (position in progress.completed) task.phase = TaskPhase.Done
            progress.started[position]?.let { inherit(task, it, now) }
            progress.abandoned[position]?.let { tables.inheritAbandoned(task, it, now) }
            if (row.ended && task.active != null) tables.pendingStops[task.name] = StopReason.JobEnded
            task.failedRuns = progress.failures[position] ?: FailedRuns()
            task.lastRun = maxOf(task.lastRun, task.failedRuns.numbers.maxOrNull() ?: 0)
            task.checkpoint = progress.checkpoints[position].orEmpty()
        }
    }

    /** Fails a job of which a task has no attempts left; an earlier version of this program started it nevertheless. */
    private fun failIfExhausted(row: JobRow, now: Instant) {
        if (row.ended) return
        val attempts = tables.attemptsOf(row.job)
        if (row.allTasks().any { it.failedRuns.count >= attempts }) {
            endJob(row, JobState.Failed, now, StopReason.JobEnded)
        }
    }

    /**
     * Takes over a run that an earlier owner started. It counts as existing until its executor has answered or every
     * grant of that owner has ended.
     */
    private fun inherit(task: TaskRow, started: StartedRun, now: Instant) {
        task.lastRun = started.run
        if (started.executor !in tables.executors) return
        val done = task.phase == TaskPhase.Done
        tables.activate(task, ActiveRun(started.executor, started.run, now, Duration.ZERO, RunPhase.Inherited))
        if (done) task.phase = TaskPhase.Done
    }

    private fun createOccurrence(row: JobRow, occurrence: Int) {
        row.steps.getOrPut(occurrence) {
            row.job.steps.mapIndexed { number, step -> StepRow(row, occurrence, number, step) }
        }
    }

    /** Creates the occurrences that are due. Returns whether there were any. */
    fun createDueOccurrences(row: JobRow, wallTime: Instant): Boolean {
        val repetition = row.job.repetition
        if (repetition == null) {
            if (row.steps.isNotEmpty()) return false
            createOccurrence(row, 0)
            return true
        }
        var created = false
        for (occurrence in row.steps.size until repetition.occurrences) {
            if (occurrence in row.steps) continue
            if (repetition.dueTime(occurrence) > wallTime) break
            createOccurrence(row, occurrence)
            created = true
        }
        return created
    }

    /** Marks tasks as ready whose dependencies have completed. */
    fun releaseSteps(row: JobRow, now: Instant) {
        if (row.ended) return
        for (steps in row.steps.values) {
            val done = steps.map { it.completed }
            for (step in steps) {
                if (done[step.number] || step.step.dependencies.any { !done.getOrElse(it) { true } }) continue
                val waiting = step.tasks.filter { it.phase == TaskPhase.Waiting }
                waiting.forEach {
                    it.phase = TaskPhase.Ready
                    it.readySince = now
                }
                if (step.hasReady) tables.markReady(step)
            }
        }
    }

    fun cancel(row: JobRow, now: Instant) {
        if (row.ended) return
        endJob(row, JobState.Cancelled, now, StopReason.Cancelled)
    }

    /** Ends a job whose progress cannot be recorded. */
    fun giveUp(row: JobRow, now: Instant) {
        if (row.ended) return
        endJob(row, JobState.Failed, now, StopReason.Unrecordable)
    }

    private fun endJob(row: JobRow, state: JobState, now: Instant, reason: StopReason) {
        row.state = state
        row.endedAt = now
        tables.changed += row.job.identifier
        for (task in row.allTasks()) {
            if (task.phase == TaskPhase.Ready) task.phase = TaskPhase.Waiting
            if (task.active != null) tables.pendingStops[task.name] = reason
        }
        tables.events += SchedulerEvent(row.job.identifier, null, "ended state=$state reason=$reason")
    }

    fun completeTask(task: TaskRow, now: Instant) {
        val step = tables.stepOf(task.name) ?: return
        if (task.phase == TaskPhase.Done) return
        if (task.active != null) tables.pendingStops[task.name] = StopReason.Duplicate
        task.phase = TaskPhase.Done
        task.checkpoint = ""
        tables.changed += task.name.job
        if (step.completed) releaseSteps(step.job, now)
        completeIfDone(step.job, now)
    }

    private fun completeIfDone(row: JobRow, now: Instant) {
        if (row.ended || row.steps.size < row.job.occurrences) return
        if (row.steps.values.all { steps ->
                steps.all { it.completed }
            }
        ) {
            endJob(row, JobState.Completed, now, StopReason.JobEnded)
        }
    }

    /** Counts a failed run unless it was counted before. The job fails if the task has no attempts left. */
    fun countFailure(task: TaskRow, run: Long, now: Instant) {
        val step = tables.stepOf(task.name) ?: return
        if (step.job.ended) return
        if (!step.step.longRunning && run !in task.failedRuns) {
            task.failedRuns += run
            tables.changed += task.name.job
            if (task.failedRuns.count >= tables.attemptsOf(step.job.job)) {
                endJob(step.job, JobState.Failed, now, StopReason.JobEnded)
                return
            }
        }
        if (task.active == null) tables.requeue(task, now, now + policy.failureRetryDelay)
    }

    /** Removes jobs whose retention time after their end has passed, and returns their identifiers. */
    fun forgetExpiredJobs(now: Instant): List<JobIdentifier> {
        val old =
            tables.jobs.values.filter { row ->
                row.endedAt?.let { it + policy.endedJobRetention < now } == true &&
                    row.allTasks().none { it.active != null || it.abandoned != null }
            }
        old.forEach { tables.jobs -= it.job.identifier }
        val oldElsewhere = endedElsewhere.filterValues { it + policy.endedJobRetention < now }.keys.toList()
        endedElsewhere -= oldElsewhere.toSet()
        return old.map { it.job.identifier } + oldElsewhere
    }
}
