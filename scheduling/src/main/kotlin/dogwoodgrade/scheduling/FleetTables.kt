package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Jobs, executors and the runs that connect them, guarded by the lock of [Scheduler].
 *
 * Only [activate], [release], [abandon], [inheritAbandoned] and [dropAbandoned] change which runs may exist; they keep
 * the totals of executors and teams consistent.
 */
internal class FleetTables(
    private val policy: SchedulingPolicy,
) {
    val jobs: MutableMap<JobIdentifier, JobRow> = linkedMapOf()
    private val executorRows = linkedMapOf<ExecutorIdentifier, ExecutorRow>()
    private val executorsByPool = mutableMapOf<String, LinkedHashSet<ExecutorRow>>()

    /** All executors. Only [addExecutor] and [dropExecutor] change the table. */
    val executors: Map<ExecutorIdentifier, ExecutorRow> get() = executorRows
    val readySteps: MutableMap<String, LinkedHashSet<StepRow>> = mutableMapOf()

    /** Pools in which a task has become ready or capacity has become free since the last planning pass. */
    val poolsToPlan: MutableSet<String> = mutableSetOf()
    val teamUse: MutableMap<String, Resources> = mutableMapOf()
    val goneExecutors: LinkedHashSet<ExecutorIdentifier> = linkedSetOf()
    val plannedStarts: MutableList<PlannedStart> = mutableListOf()
    val changed: LinkedHashSet<JobIdentifier> = linkedSetOf()
    val pendingStops: LinkedHashMap<TaskName, StopReason> = linkedMapOf()
    val events: MutableList<SchedulerEvent> = mutableListOf()
    var configuration: SchedulingConfiguration = SchedulingConfiguration()
    var zones: ZoneReachability = ZoneReachability()

    fun task(name: TaskName): TaskRow? = jobs[name.job]?.task(name)

    fun stepOf(name: TaskName): StepRow? = jobs[name.job]?.steps?.get(name.occurrence)?.getOrNull(name.step)

    /**
     * Returns the settings of the job's queue now, or those recorded with the job if the queue was removed. They are
     * unknown if an earlier version of this program has accepted the job.
     */
    fun queueOf(job: Job): JobQueueSettings? = configuration.queues[job.queue] ?: job.queueSettings

    /** Returns the pool that serves the job's queue now, or the one recorded with the job if the queue was removed. */
    fun poolOf(job: Job): String = queueOf(job)?.pool ?: job.pool

    /**
     * Returns the number of failed runs of one task after which [job] fails. It was promised when the job was accepted.
     * If it is known neither from the job nor from the configuration, nothing permits another run after a failure.
     */
    fun attemptsOf(job: Job): Int = (job.queueSettings ?: configuration.queues[job.queue])?.attempts ?: 1

    /** Returns the executors of [pool]. */
    fun executorsOf(pool: String): Set<ExecutorRow> = executorsByPool[pool].orEmpty()

    /** Adds an executor, or replaces the report of a known one. Returns its row. */
    fun addExecutor(report: ExecutorReport): ExecutorRow {
        val row = executorRows.getOrPut(report.identifier) { ExecutorRow(report, policy) }
        if (row.report.pool != report.pool) executorsByPool[row.report.pool]?.remove(row)
        row.report = report
        row.described = true
        executorsByPool.getOrPut(report.pool) { linkedSetOf() } += row
        return row
    }

    /** Removes an executor on which no run exists or can start any more. */
    fun dropExecutor(identifier: ExecutorIdentifier) {
        val row = executorRows.remove(identifier) ?: return
        executorsByPool[row.report.pool]?.remove(row)
        goneExecutors += identifier
    }

    fun markReady(row: StepRow) {
        val pool = poolOf(row.job.job)
        readySteps.getOrPut(pool) { linkedSetOf() } += row
        poolsToPlan += pool
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
            if (step.step.usesSpareCapacity) it.spareRuns++
        }
        addUse(step.job.job.team, step.step.request)
        changed += task.name.job
    }

    /** Marks a job as active of which an executor has confirmed a run. */
    fun markBegun(job: JobIdentifier) {
        val row = jobs[job]?.takeIf { it.state == JobState.Queued } ?: return
        row.state = JobState.Active
        changed += job
    }

    /** Removes the task's active run. The caller sets the next phase of the task. */
    fun release(task: TaskRow) {
        val run = task.active ?: return
        val step = stepOf(task.name)
        changed += task.name.job
        task.active = null
        pendingStops -= task.name
        executors[run.executor]?.let {
            if (it.runs.remove(task.name) != null && step != null) {
                it.used -= step.step.reserved
                if (step.step.longRunning) it.longRuns--
                if (step.step.usesSpareCapacity) it.spareRuns--
                poolsToPlan += it.report.pool
            }
        }
        if (step != null) removeUse(step.job.job.team, step.step.request)
    }

    /** Marks [run] as abandoned. It may not have ended, so it still counts against the executor and the team. */
    fun abandon(executor: ExecutorRow, task: TaskRow, run: ActiveRun) {
        val step = stepOf(task.name) ?: return
        executor.runs -= task.name
        if (step.step.usesSpareCapacity) executor.spareRuns--
        executor.abandoned[task.name] = AbandonedRun(run, step.step, step.job.job.team)
        task.active = null
        task.abandoned = StartedRun(run.executor, run.run)
        pendingStops -= task.name
        changed += task.name.job
    }

    /** Takes over a run that an earlier owner abandoned. */
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

    /** Removes the abandoned run of a task, which no longer exists on [executor]. */
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

    /** Marks the task as ready to start again, unless it is done or its job has ended. */
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

/** A start that will be ordered once its run is durable. */
public data class PlannedStart(
    public val task: TaskName,
    public val executor: ExecutorIdentifier,
    public val run: Long,
)

/** An event for the log. */
public data class SchedulerEvent(
    public val job: JobIdentifier?,
    public val executor: ExecutorIdentifier?,
    public val text: String,
)
