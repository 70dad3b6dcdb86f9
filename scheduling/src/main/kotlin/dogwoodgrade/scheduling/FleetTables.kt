package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Jobs, executors and what connects them. All of it is guarded by the lock of [Scheduler].
 *
 * Only [activate], [release], [abandon], [inheritAbandoned] and [dropAbandoned] change which runs may exist; they keep
 * the totals of executors and teams true.
 */
internal class FleetTables {
    val jobs: MutableMap<JobIdentifier, JobRow> = linkedMapOf()
    val executors: MutableMap<ExecutorIdentifier, ExecutorRow> = linkedMapOf()
    val readySteps: MutableMap<String, LinkedHashSet<StepRow>> = mutableMapOf()
    val teamUse: MutableMap<String, Resources> = mutableMapOf()
    val goneExecutors: LinkedHashSet<ExecutorIdentifier> = linkedSetOf()
    val plannedStarts: MutableList<PlannedStart> = mutableListOf()
    val changed: LinkedHashSet<JobIdentifier> = linkedSetOf()
    val stopsWanted: LinkedHashMap<TaskName, StopReason> = linkedMapOf()
    val events: MutableList<SchedulerEvent> = mutableListOf()
    var configuration: SchedulingConfiguration = SchedulingConfiguration()
    var zones: ZoneContact = ZoneContact()

    fun task(name: TaskName): TaskRow? = jobs[name.job]?.task(name)

    fun stepOf(name: TaskName): StepRow? = jobs[name.job]?.steps?.get(name.occurrence)?.getOrNull(name.step)

    /** The pool that runs the job's queue now; the one recorded with the job if the queue was removed. */
    fun poolOf(job: Job): String = configuration.queues[job.queue]?.pool ?: job.pool

    /** Nothing runs on the executor any more, and nothing will. */
    fun dropExecutor(identifier: ExecutorIdentifier) {
        if (executors.remove(identifier) != null) goneExecutors += identifier
    }

    fun markReady(row: StepRow) {
        readySteps.getOrPut(poolOf(row.job.job)) { linkedSetOf() } += row
    }

    fun activate(task: TaskRow, run: ActiveRun) {
        val step = stepOf(task.name) ?: return
        task.active = run
        task.phase = TaskPhase.Active
        task.lastRun = maxOf(task.lastRun, run.run)
        executors[run.executor]?.let {
            it.runs[task.name] = run
            it.used += step.step.reserved
            if (step.step.longRunning) it.longRuns++
        }
        addUse(step.job.job.team, step.step.request)
        if (step.job.state == JobState.Queued) step.job.state = JobState.Active
        changed += task.name.job
    }

    /** Removes the task's run; the caller sets what the task does next. */
    fun release(task: TaskRow) {
        val run = task.active ?: return
        val step = stepOf(task.name)
        changed += task.name.job
        task.active = null
        stopsWanted -= task.name
        executors[run.executor]?.let {
            if (it.runs.remove(task.name) != null && step != null) {
                it.used -= step.step.reserved
                if (step.step.longRunning) it.longRuns--
            }
        }
        if (step != null) removeUse(step.job.job.team, step.step.request)
    }

    /** Gives [run] up without knowing that it has ended; it goes on counting. */
    fun abandon(executor: ExecutorRow, task: TaskRow, run: ActiveRun) {
        val step = stepOf(task.name) ?: return
        executor.runs -= task.name
        executor.abandoned[task.name] = AbandonedRun(run, step.step, step.job.job.team)
        task.active = null
        task.abandoned = StartedRun(run.executor, run.run)
        stopsWanted -= task.name
        changed += task.name.job
    }

    /** Counts a run that an earlier owner abandoned. */
    fun inheritAbandoned(task: TaskRow, started: StartedRun, now: Instant) {
        val step = stepOf(task.name) ?: return
        val executor = executors[started.executor] ?: return
        val run = ActiveRun(started.executor, started.run, now, Duration.ZERO, RunPhase.Inherited)
        val team = step.job.job.team
        executor.abandoned[task.name] = AbandonedRun(run, step.step, team)
        executor.used += step.step.reserved
        addUse(team, step.step.request)
        task.abandoned = started
    }

    /** The abandoned run of a task on [executor] does not exist any more. */
    fun dropAbandoned(executor: ExecutorRow, name: TaskName) {
        val abandoned = executor.abandoned.remove(name) ?: return
        executor.used -= abandoned.step.reserved
        removeUse(abandoned.team, abandoned.step.request)
        task(name)?.let {
            it.abandoned = null
            changed += name.job
        }
    }

    private fun addUse(team: String?, amount: Resources) {
        if (team != null) teamUse.merge(team, amount, Resources::plus)
    }

    private fun removeUse(team: String?, amount: Resources) {
        if (team != null) teamUse[team] = (teamUse[team] ?: Resources.None) - amount
    }

    /** Lets the task wait for room again, unless its job has ended. */
    fun requeue(task: TaskRow, now: Instant, notBefore: Instant) {
        val step = stepOf(task.name) ?: return
        if (task.phase == TaskPhase.Done) return
        if (step.job.ended) {
            task.phase = TaskPhase.Waiting
            return
        }
        task.phase = TaskPhase.Ready
        task.readySince = now
        task.notBefore = notBefore
        markReady(step)
    }
}

/** A start that is ordered once its run is durable. */
public data class PlannedStart(
    public val task: TaskName,
    public val executor: ExecutorIdentifier,
    public val run: Long,
)

/** Something the scheduler concluded that operators want to find in the log. */
public data class SchedulerEvent(
    public val job: JobIdentifier?,
    public val executor: ExecutorIdentifier?,
    public val text: String,
)
