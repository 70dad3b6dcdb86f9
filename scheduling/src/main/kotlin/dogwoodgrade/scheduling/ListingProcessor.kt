package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Concludes from the responses of executors which runs exist.
 *
 * A run that a response does not list is gone only if the request was sent after the executor had confirmed the run,
 * or if the deadline of its unanswered start has passed on the executor's clock.
 */
internal class ListingProcessor(
    private val tables: FleetTables,
    private val transitions: JobTransitions,
    private val policy: SchedulingPolicy,
) {
    fun process(executor: ExecutorRow, listing: ExecutorListing, requestedAt: Instant, now: Instant) {
        executor.unansweredSince = null
        if (listing.incarnation != executor.report.incarnation) {
            if (listing.incarnation > executor.report.incarnation) restart(executor, listing.incarnation, now)
            return
        }
        executor.clock = listing.clock
        executor.clockReadAt = now
        executor.reachable = true
        executor.listedAt = now
        listing.ended.sortedBy { it.number }.forEach { if (it.number > executor.processedEnd) end(executor, it, now) }
        listing.running.forEach { run(executor, it, now) }
        val unlisted = Unlisted(listing, requestedAt)
        removeMissing(executor, unlisted, now)
        settleAbandoned(executor, unlisted)
    }

    /** Forgets abandoned runs that are not listed; listed ones were adopted or are being stopped. */
    private fun settleAbandoned(executor: ExecutorRow, unlisted: Unlisted) {
        for ((name, abandoned) in executor.abandoned.toList()) {
            if (unlisted.cannotExist(name, abandoned.run)) tables.dropAbandoned(executor, name)
        }
    }

    /** The executor started again: what ran before is gone, and nothing of it is listed as ended. */
    fun restart(executor: ExecutorRow, incarnation: Long, now: Instant) {
        tables.events += SchedulerEvent(null, executor.identifier, "restarted incarnation=$incarnation")
        loseRuns(executor, now)
        executor.report = executor.report.copy(incarnation = incarnation)
        // A new owner would take runs of this life for lost if it knew only the earlier one.
        executor.recorded = false
        executor.clock = null
        executor.listedAt = null
        executor.grantedUntil = Duration.ZERO
        executor.processedEnd = 0
        executor.durableEnd = 0
        executor.failuresInRow = 0
        executor.avoidUntil = Instant.DISTANT_PAST
    }

    /** Lets every task wait again that ran on [executor], which is known to run nothing. */
    fun loseRuns(executor: ExecutorRow, now: Instant) {
        for ((name, run) in executor.runs.toList()) {
            val task = tables.task(name) ?: continue
            if (run.checkpoint.isNotEmpty()) task.checkpoint = run.checkpoint
            val text = "run lost task=${name.text} run=${run.run}"
            tables.events += SchedulerEvent(name.job, executor.identifier, text)
            tables.release(task)
            tables.requeue(task, now, now)
        }
        executor.abandoned.keys
            .toList()
            .forEach { tables.dropAbandoned(executor, it) }
        executor.runs.clear()
        executor.used = Resources.None
        executor.longRuns = 0
    }

    private fun end(executor: ExecutorRow, end: ListedEnd, now: Instant) {
        executor.processedEnd = end.number
        val task = tables.task(end.task) ?: return
        tables.changed += end.task.job
        val active = task.active
        val ofActive = active != null && active.executor == executor.identifier && active.run == end.run
        if (end.checkpoint.isNotEmpty()) task.checkpoint = end.checkpoint
        task.lastRun = maxOf(task.lastRun, end.run)
        if (end.ending != RunEnding.Done) logEnd(executor, end, task)
        if (ofActive) tables.release(task)
        val longRunning = tables.stepOf(task.name)?.step?.longRunning == true
        when {
            end.ending == RunEnding.Done && !longRunning -> {
                executor.failuresInRow = 0
                executor.failedJobs = emptySet()
                completeGang(task, now)
            }
            end.ending == RunEnding.Failed -> fail(executor, task, end.run, now)
            !ofActive -> Unit
            else -> tables.requeue(task, now, now)
        }
    }

    private fun logEnd(executor: ExecutorRow, end: ListedEnd, task: TaskRow) {
        val failures = "failed_before=${task.failedRuns.size}"
        val text = "run ended ending=${end.ending} task=${end.task.text} run=${end.run} $failures"
        tables.events += SchedulerEvent(end.task.job, executor.identifier, text)
    }

    /** One completed member stands for its whole gang. */
    private fun completeGang(task: TaskRow, now: Instant) {
        transitions.completeTask(task, now)
        val step = tables.stepOf(task.name) ?: return
        if (!step.step.gang) return
        for (member in step.tasks) {
            if (member.phase != TaskPhase.Done) {
                tables.release(member)
                transitions.completeTask(member, now)
            }
        }
    }

    private fun fail(executor: ExecutorRow, task: TaskRow, run: Long, now: Instant) {
        if (task.phase == TaskPhase.Done) return
        task.lastFailedOn = executor.identifier
        // A task that has failed before says more about its job than about the executor.
        if (task.failedRuns.isEmpty()) blame(executor, task, now)
        transitions.countFailure(task, run, now)
        restartGang(task, now)
    }

    /** Avoids an executor after failures of several jobs in a row. */
    fun blame(executor: ExecutorRow, task: TaskRow, now: Instant) {
        executor.failuresInRow++
        executor.failedJobs += task.name.job
        if (executor.failuresInRow >= policy.suspicionFailures && executor.failedJobs.size > 1) {
            executor.avoidUntil = now + policy.probation
            val counts = "failures=${executor.failuresInRow} jobs=${executor.failedJobs.size}"
            val text = "avoided $counts for=${policy.probation}"
            tables.events += SchedulerEvent(task.name.job, executor.identifier, text)
        }
    }

    /** A gang works only as a whole, so that its other members are stopped and all start again. */
    fun restartGang(task: TaskRow, now: Instant) {
        val step = tables.stepOf(task.name) ?: return
        if (!step.step.gang || step.job.ended) return
        for (member in step.tasks) {
            if (member.active != null) tables.stopsWanted[member.name] = StopReason.GangRestart
            if (member.phase == TaskPhase.Ready) member.readySince = now
        }
    }

    private fun run(executor: ExecutorRow, listed: ListedRun, now: Instant) {
        val row = tables.jobs[listed.task.job]
        val task = row?.task(listed.task)
        if (task == null || !mayRun(row, task)) {
            stopStray(executor, listed, now)
            return
        }
        val active = task.active
        when {
            active == null -> {
                tables.dropAbandoned(executor, task.name)
                adopt(executor, task, listed, now)
            }
            active.executor == executor.identifier && active.run == listed.run -> update(active, listed, now)
            active.executor == executor.identifier && active.run < listed.run -> {
                tables.release(task)
                adopt(executor, task, listed, now)
            }
            else -> stopStray(executor, listed, now)
        }
    }

    private fun mayRun(row: JobRow, task: TaskRow): Boolean =
        task.phase != TaskPhase.Done && (!row.ended || task.active != null)

    private fun adopt(executor: ExecutorRow, task: TaskRow, listed: ListedRun, now: Instant) {
        val run = ActiveRun(executor.identifier, listed.run, now, Duration.ZERO, RunPhase.Running, confirmedAt = now)
        tables.activate(task, run)
        update(run, listed, now)
        tables.events +=
            SchedulerEvent(task.name.job, executor.identifier, "adopted task=${task.name.text} run=${listed.run}")
    }

    private fun update(active: ActiveRun, listed: ListedRun, now: Instant) {
        if (active.phase != RunPhase.Stopping) active.phase = RunPhase.Running
        if (active.confirmedAt == null) active.confirmedAt = now
        if (listed.checkpoint.isNotEmpty()) active.checkpoint = listed.checkpoint
        if (listed.percent != active.percent) {
            active.percent = listed.percent
            active.percentSince = now
        }
        active.figure = listed.figure
    }

    private fun stopStray(executor: ExecutorRow, listed: ListedRun, now: Instant) {
        val key = StrayRun(executor.identifier, listed.task, listed.run)
        val sentAt = strays[key]
        if (sentAt != null && now - sentAt < policy.startDeadline) return
        strays[key] = now
        strayStops += Order.Stop(executor.identifier, listed.task, listed.run, StopReason.Unknown)
    }

    private fun removeMissing(executor: ExecutorRow, unlisted: Unlisted, now: Instant) {
        for ((name, run) in executor.runs.toList()) {
            if (!unlisted.cannotExist(name, run)) continue
            val task = tables.task(name) ?: continue
            tables.events +=
                SchedulerEvent(name.job, executor.identifier, "run missing task=${name.text} run=${run.run}")
            if (run.checkpoint.isNotEmpty()) task.checkpoint = run.checkpoint
            tables.release(task)
            tables.requeue(task, now, now)
        }
    }

    private val strays = mutableMapOf<StrayRun, Instant>()
    private val strayStops = mutableListOf<Order.Stop>()

    /** Returns the stops of runs that belong to no task, once. */
    fun takeStrayStops(now: Instant): List<Order.Stop> {
        strays.values.removeAll { now - it > policy.startDeadline * 4 }
        return strayStops.toList().also { strayStops.clear() }
    }
}

/** What a response proves about runs that it does not list. */
private class Unlisted(
    private val listing: ExecutorListing,
    private val requestedAt: Instant,
) {
    private val listed = listing.running.associate { it.task to it.run }

    /**
     * Tells whether a run is not listed and cannot exist. The listing has fenced the orders of earlier owners, so that
     * inherited runs that are not listed never start.
     */
    fun cannotExist(name: TaskName, run: ActiveRun): Boolean {
        val confirmedAt = run.confirmedAt
        return when {
            listed[name] == run.run -> false
            run.phase == RunPhase.Planned -> false
            run.phase == RunPhase.Inherited -> true
            confirmedAt != null -> requestedAt > confirmedAt
            else -> listing.clock > run.startDeadline
        }
    }
}

private data class StrayRun(
    val executor: ExecutorIdentifier,
    val task: TaskName,
    val run: Long,
)
