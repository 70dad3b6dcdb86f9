package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Updates the known runs from the listings of executors.
 *
 * A run that is missing from a listing is known not to exist only if the request was sent after the executor had
 * confirmed the run, if the deadline of its unanswered start has passed on the executor's clock, or if the executor had
 * accepted a stop of the run before. It may have ended if the list of ends is incomplete.
 *
 * A restart ends the runs that an earlier incarnation has confirmed. Any other run may exist in the new incarnation:
 * orders name the executor only, so that the new incarnation executes those that were meant for the earlier one.
 */
internal class ListingProcessor(
    private val tables: FleetTables,
    private val transitions: JobTransitions,
    private val policy: SchedulingPolicy,
) {
    fun process(
        executor: ExecutorRow,
        listing: ExecutorListing,
        sent: ListingRequest,
        requestedAt: Instant,
        now: Instant,
    ) {
        executor.unansweredSince = null
        if (listing.incarnation < executor.report.incarnation) return
        if (listing.incarnation > executor.report.incarnation) restart(executor, listing.incarnation, now)
        executor.clock = listing.clock
        executor.clockReadAt = now
        executor.reachable = true
        executor.listedAt = now
        // The request has fenced earlier owners, whose orders have no effect any more.
        executor.staleInheritedGrantsUntil =
            minOf(executor.staleInheritedGrantsUntil, now + policy.longestGrantOnSlowClock)
        executor.acknowledgedEnd = maxOf(executor.acknowledgedEnd, sent.acknowledgedEnd)
        listing.ended
            .sortedBy { it.number }
            .forEach { if (it.number > executor.processedEnd) processEnd(executor, it, now) }
        listing.running.forEach { processRun(executor, it, now) }
        val absenceCheck = AbsenceCheck(listing, requestedAt)
        requeueMissingRuns(executor, absenceCheck, now)
        dropEndedAbandonedRuns(executor, absenceCheck)
        stopStaleOrders(executor)
    }

    /** Stops unanswered starts that were ordered from an earlier incarnation, so that they are never executed. */
    private fun stopStaleOrders(executor: ExecutorRow) {
        for ((name, run) in executor.runs) {
            if (run.isStaleOrder(executor.report.incarnation)) {
                tables.pendingStops.putIfAbsent(name, StopReason.StaleOrder)
            }
        }
    }

    /** Removes abandoned runs that no longer exist. Those that are listed were adopted or are being stopped. */
    private fun dropEndedAbandonedRuns(executor: ExecutorRow, absenceCheck: AbsenceCheck) {
        for ((name, abandoned) in executor.abandoned.toList()) {
            if (absenceCheck.cannotExist(name, abandoned.run)) tables.dropAbandoned(executor, name)
        }
    }

    /** Processes a restart of the executor: the runs of its earlier incarnations have ended and are not listed. */
    fun restart(executor: ExecutorRow, incarnation: Long, now: Instant) {
        val unanswered = executor.orderedStarts.unansweredCount
        val text = "restarted incarnation=$incarnation runs=${executor.runs.size} unanswered_starts=$unanswered"
        tables.events += SchedulerEvent(null, executor.identifier, text)
        for ((name, run) in executor.runs.toList()) {
            if (run.phase == RunPhase.Planned || run.endedBefore(incarnation)) requeueLostRun(executor, name, run, now)
        }
        for ((name, abandoned) in executor.abandoned.toList()) {
            if (abandoned.run.phase != RunPhase.Inherited) tables.dropAbandoned(executor, name)
        }
        executor.report = executor.report.copy(incarnation = incarnation)
        executor.described = false
        // A new owner that knew only the earlier incarnation would have to prove anew which runs exist.
        executor.recorded = false
        executor.clock = null
        executor.listedAt = null
        executor.grantedUntil = Duration.ZERO
        executor.staleInheritedGrantsUntil = executor.inheritedGrantsUntil
        executor.processedEnd = 0
        executor.durableEnd = 0
        executor.acknowledgedEnd = 0
        executor.failuresInRow = 0
        executor.avoidUntil = Instant.DISTANT_PAST
    }

    /** Requeues every task that had a run on [executor], on which no run exists any more. */
    fun requeueLostRuns(executor: ExecutorRow, now: Instant) {
        for ((name, run) in executor.runs.toList()) requeueLostRun(executor, name, run, now)
        executor.abandoned.keys
            .toList()
            .forEach { tables.dropAbandoned(executor, it) }
    }

    /** Requeues the task of [run], which has ended without a listed end. */
    fun requeueLostRun(executor: ExecutorRow, name: TaskName, run: ActiveRun, now: Instant) {
        val task = tables.task(name) ?: return
        if (run.checkpoint.isNotEmpty()) task.checkpoint = run.checkpoint
        val text = "run lost task=${name.text} run=${run.run}"
        tables.events += SchedulerEvent(name.job, executor.identifier, text)
        tables.release(task)
        tables.requeue(task, now, now)
    }

    private fun processEnd(executor: ExecutorRow, end: ListedEnd, now: Instant) {
        executor.processedEnd = end.number
        val task = tables.task(end.task) ?: return
        tables.markBegun(end.task.job)
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
            end.ending == RunEnding.Failed -> processFailure(executor, task, end.run, now)
            !ofActive -> Unit
            else -> tables.requeue(task, now, now)
        }
    }

    private fun logEnd(executor: ExecutorRow, end: ListedEnd, task: TaskRow) {
        val failures = "failed_before=${task.failedRuns.count}"
        val text = "run ended ending=${end.ending} task=${end.task.text} run=${end.run} $failures"
        tables.events += SchedulerEvent(end.task.job, executor.identifier, text)
    }

    /** Completes [task] and, if it belongs to a gang, all other tasks of the gang. */
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

    private fun processFailure(executor: ExecutorRow, task: TaskRow, run: Long, now: Instant) {
        if (task.phase == TaskPhase.Done) return
        task.lastFailedOn = executor.identifier
        // A task that has failed before more likely has a fault itself than a faulty executor.
        if (task.failedRuns.count == 0) recordExecutorFailure(executor, task, now)
        transitions.countFailure(task, run, now)
        restartGang(task, now)
    }

    /** Counts a failure on [executor], which is avoided for a while after consecutive failures of several jobs. */
    fun recordExecutorFailure(executor: ExecutorRow, task: TaskRow, now: Instant) {
        executor.failuresInRow++
        executor.failedJobs += task.name.job
        if (executor.failuresInRow >= policy.failuresUntilProbation && executor.failedJobs.size > 1) {
            executor.avoidUntil = now + policy.probation
            val counts = "failures=${executor.failuresInRow} jobs=${executor.failedJobs.size}"
            val text = "avoided $counts for=${policy.probation}"
            tables.events += SchedulerEvent(task.name.job, executor.identifier, text)
        }
    }

    /** Restarts the gang of [task], if it has one: a gang works only as a whole, so its other members are stopped. */
    fun restartGang(task: TaskRow, now: Instant) {
        val step = tables.stepOf(task.name) ?: return
        if (!step.step.gang || step.job.ended) return
        for (member in step.tasks) {
            if (member.active != null) tables.pendingStops[member.name] = StopReason.GangRestart
            if (member.phase == TaskPhase.Ready) member.readySince = now
        }
    }

    private fun processRun(executor: ExecutorRow, listedRun: ListedRun, now: Instant) {
        val row = tables.jobs[listedRun.task.job]
        val task = row?.task(listedRun.task)
        if (task == null || !mayRun(row, task)) {
            stopUnexpectedRun(executor, listedRun, now)
            return
        }
        val active = task.active
        when {
            active == null -> {
                tables.dropAbandoned(executor, task.name)
                adopt(executor, task, listedRun, now)
            }
            active.executor == executor.identifier && active.run == listedRun.run ->
                update(executor, active, listedRun, now)
            active.executor == executor.identifier && active.run < listedRun.run -> {
                tables.release(task)
                adopt(executor, task, listedRun, now)
            }
            else -> stopUnexpectedRun(executor, listedRun, now)
        }
    }

    private fun mayRun(row: JobRow, task: TaskRow): Boolean =
        task.phase != TaskPhase.Done && (!row.ended || task.active != null)

    private fun adopt(executor: ExecutorRow, task: TaskRow, listedRun: ListedRun, now: Instant) {
        val run = ActiveRun(executor.identifier, listedRun.run, now, Duration.ZERO, RunPhase.Running)
        tables.activate(task, run)
        update(executor, run, listedRun, now)
        tables.events +=
            SchedulerEvent(task.name.job, executor.identifier, "adopted task=${task.name.text} run=${listedRun.run}")
    }

    private fun update(executor: ExecutorRow, active: ActiveRun, listedRun: ListedRun, now: Instant) {
        tables.markBegun(listedRun.task.job)
        if (active.phase != RunPhase.Stopping) active.phase = RunPhase.Running
        if (active.confirmedAt == null) active.confirmedAt = now
        active.confirmedBy = executor.report.incarnation
        if (listedRun.checkpoint.isNotEmpty()) active.checkpoint = listedRun.checkpoint
        if (listedRun.percent != active.percent) {
            active.percent = listedRun.percent
            active.percentSince = now
        }
        active.measurement = listedRun.measurement
        active.listedAt = now
    }

    private fun stopUnexpectedRun(executor: ExecutorRow, listedRun: ListedRun, now: Instant) {
        val key = UnexpectedRun(executor.identifier, listedRun.task, listedRun.run)
        val sentAt = unexpectedRuns[key]
        if (sentAt != null && now - sentAt < policy.startOrderValidity) return
        unexpectedRuns[key] = now
        unexpectedRunStops += Order.Stop(executor.identifier, listedRun.task, listedRun.run, StopReason.Unknown)
    }

    private fun requeueMissingRuns(executor: ExecutorRow, absenceCheck: AbsenceCheck, now: Instant) {
        for ((name, run) in executor.runs.toList()) {
            if (!absenceCheck.cannotExist(name, run)) continue
            val task = tables.task(name) ?: continue
            tables.events +=
                SchedulerEvent(name.job, executor.identifier, "run missing task=${name.text} run=${run.run}")
            if (run.checkpoint.isNotEmpty()) task.checkpoint = run.checkpoint
            tables.release(task)
            tables.requeue(task, now, now)
        }
    }

    private val unexpectedRuns = mutableMapOf<UnexpectedRun, Instant>()
    private val unexpectedRunStops = mutableListOf<Order.Stop>()

    /** Returns and clears the stops of unexpected runs, which are listed but do not match the known state of a task. */
    fun takeUnexpectedRunStops(now: Instant): List<Order.Stop> {
        unexpectedRuns.values.removeAll { now - it > policy.startOrderValidity * 4 }
        return unexpectedRunStops.toList().also { unexpectedRunStops.clear() }
    }
}

/** Checks whether runs that a listing lacks can exist. */
private class AbsenceCheck(
    private val listing: ExecutorListing,
    private val requestedAt: Instant,
) {
    private val listedRuns = listing.running.associate { it.task to it.run }

    /**
     * Returns whether a run is not listed and cannot exist. The listing has fenced the orders of earlier owners, so
     * inherited runs that are not listed never start.
     */
    fun cannotExist(name: TaskName, run: ActiveRun): Boolean {
        val confirmedAt = run.confirmedAt
        return when {
            listedRuns[name] == run.run -> false
            run.phase == RunPhase.Planned -> false
            // Its end may be among those that the list was too short for.
            !listing.endsComplete -> false
            run.phase == RunPhase.Inherited -> true
            confirmedAt != null -> requestedAt > confirmedAt
            run.isStaleOrder(listing.incarnation) -> isStopped(run)
            else -> listing.clock > run.startDeadline
        }
    }

    private fun isStopped(run: ActiveRun): Boolean {
        val acceptance = run.stopAcceptance ?: return false
        return !run.inTransit && acceptance.incarnation == listing.incarnation && requestedAt > acceptance.acceptedAt
    }
}

private data class UnexpectedRun(
    val executor: ExecutorIdentifier,
    val task: TaskName,
    val run: Long,
)
