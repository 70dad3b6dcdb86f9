package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * How jobs and tasks move from one state to the next.
 *
 * A run that ended `done` completes its task even if another run of it is believed to be active; that run is stopped.
 */
internal class JobTransitions(
    private val tables: FleetTables,
    private val policy: SchedulingPolicy,
) {
    /** Jobs that ended under earlier owners, with the time at which this owner learned of them. */
    private val endedBefore = mutableMapOf<JobIdentifier, Instant>()

    fun rememberEnded(jobs: Set<JobIdentifier>, now: Instant) = jobs.forEach { endedBefore[it] = now }

    fun accept(job: Job, progress: JobProgress?, now: Instant, wall: Instant) {
        if (job.identifier in tables.jobs) return
        val row = JobRow(job)
        tables.jobs[job.identifier] = row
        row.state = progress?.state ?: JobState.Queued
        if (row.ended) row.endedAt = now
        createDueOccurrences(row, wall)
        progress?.let { restore(row, it, now) }
        releaseSteps(row, now)
        completeIfDone(row, now)
    }

    private fun restore(row: JobRow, progress: JobProgress, now: Instant) {
        val positions =
            progress.completed + progress.failures.keys + progress.started.keys + progress.abandoned.keys
        positions.mapTo(mutableSetOf()) { it.occurrence }.forEach { createOccurrence(row, it) }
        for (task in row.allTasks()) {
            val position = task.name.position
            if (position in progress.completed) task.phase = TaskPhase.Done
            progress.started[position]?.let { inherit(task, it, now) }
            progress.abandoned[position]?.let { tables.inheritAbandoned(task, it, now) }
            if (row.ended && task.active != null) tables.stopsWanted[task.name] = StopReason.JobEnded
            task.failedRuns = progress.failures[position].orEmpty()
            task.lastRun = maxOf(task.lastRun, task.failedRuns.maxOrNull() ?: 0)
            task.checkpoint = progress.checkpoints[position].orEmpty()
        }
    }

    /** A run of an earlier owner counts until its executor has answered or every grant of that owner has ended. */
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

    /** Creates the occurrences whose time has come. */
    fun createDueOccurrences(row: JobRow, wall: Instant): Boolean {
        val repetition = row.job.repetition
        if (repetition == null) {
            if (row.steps.isNotEmpty()) return false
            createOccurrence(row, 0)
            return true
        }
        var created = false
        for (occurrence in row.steps.size until repetition.occurrences) {
            if (occurrence in row.steps) continue
            if (repetition.due(occurrence) > wall) break
            createOccurrence(row, occurrence)
            created = true
        }
        return created
    }

    /** Makes the tasks ready whose dependencies have completed. */
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
        end(row, JobState.Cancelled, now, StopReason.Cancelled)
    }

    private fun end(row: JobRow, state: JobState, now: Instant, reason: StopReason) {
        row.state = state
        row.endedAt = now
        tables.changed += row.job.identifier
        for (task in row.allTasks()) {
            if (task.phase == TaskPhase.Ready) task.phase = TaskPhase.Waiting
            if (task.active != null) tables.stopsWanted[task.name] = reason
        }
        tables.events += SchedulerEvent(row.job.identifier, null, "ended state=$state reason=$reason")
    }

    fun completeTask(task: TaskRow, now: Instant) {
        val step = tables.stepOf(task.name) ?: return
        if (task.phase == TaskPhase.Done) return
        if (task.active != null) tables.stopsWanted[task.name] = StopReason.Duplicate
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
            end(row, JobState.Completed, now, StopReason.JobEnded)
        }
    }

    /** Counts a failed run unless it was counted before; the job fails if the task has no attempts left. */
    fun countFailure(task: TaskRow, run: Long, now: Instant) {
        val step = tables.stepOf(task.name) ?: return
        if (step.job.ended) return
        if (!step.step.longRunning && run !in task.failedRuns) {
            task.failedRuns += run
            tables.changed += task.name.job
            val attempts = tables.configuration.queues[step.job.job.queue]?.attempts ?: Int.MAX_VALUE
            if (task.failedRuns.size >= attempts) {
                end(step.job, JobState.Failed, now, StopReason.JobEnded)
                return
            }
        }
        if (task.active == null) tables.requeue(task, now, now + policy.failurePause)
    }

    /** Forgets jobs that ended so long ago that nobody may ask for them any more. */
    fun forget(now: Instant): List<JobIdentifier> {
        val old =
            tables.jobs.values.filter { row ->
                row.endedAt?.let { it + policy.knownJobsRetention < now } == true &&
                    row.allTasks().none { it.active != null || it.abandoned != null }
            }
        old.forEach { tables.jobs -= it.job.identifier }
        val oldBefore = endedBefore.filterValues { it + policy.knownJobsRetention < now }.keys.toList()
        endedBefore -= oldBefore.toSet()
        return old.map { it.job.identifier } + oldBefore
    }
}
