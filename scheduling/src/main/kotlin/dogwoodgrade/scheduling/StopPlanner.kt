package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time before a stop is resent if the run has not ended; an executor takes up to 400 ms to stop a run. */
private val STOP_RESEND_INTERVAL: Duration = 600.milliseconds

/** Time without progress after which a long-running task that is not available yet counts as stalled. */
private val WARM_UP_TIME_LIMIT: Duration = 4.seconds

/** Decides which runs to stop: those of ended jobs, those on leaving executors, and stalled ones. */
internal class StopPlanner(
    private val tables: FleetTables,
    private val listings: ListingProcessor,
    private val policy: SchedulingPolicy,
) {
    /** Looks at every run, and decides which ones to stop. */
    fun planStopsOfAllRuns(now: Instant) {
        stopTasksOnLeavingExecutors()
        stopStalledRuns(now)
    }

    /** Returns the stops to order now. */
    fun plan(now: Instant): List<Order> {
        val orders = mutableListOf<Order>()
        for ((name, reason) in tables.pendingStops.toList()) {
            val run = tables.task(name)?.active
            if (run == null) {
                tables.pendingStops -= name
                continue
            }
            // The start of a planned run is not ordered yet; StartPlanner.dispatch drops it.
            if (run.phase == RunPhase.Planned) continue
            val sentAt = run.stopSentAt
            if (sentAt != null && now - sentAt < STOP_RESEND_INTERVAL) continue
            run.stopSentAt = now
            run.stopReason = reason
            run.phase = RunPhase.Stopping
            orders += Order.Stop(run.executor, name, run.run, reason)
        }
        return orders + listings.takeUnexpectedRunStops(now)
    }

    /** Stops long-running tasks on leaving executors, so that they restart elsewhere; they do not end by themselves. */
    private fun stopTasksOnLeavingExecutors() {
        for (executor in tables.executors.values) {
            if (!executor.report.draining && !executor.retiring) continue
            for ((name, run) in executor.runs) {
                val step = tables.stepOf(name) ?: continue
                if (!step.step.longRunning || run.phase == RunPhase.Stopping) continue
                if (executor.report.draining || mayInterrupt(step, name)) {
                    run.phase = RunPhase.Stopping
                    tables.pendingStops[name] = StopReason.Moved
                }
            }
        }
    }

    /** Returns whether planned work may make the task [name] of [step] unavailable. */
    fun mayInterrupt(step: StepRow, name: TaskName): Boolean {
        val budget = step.step.unavailabilityBudget
        if (budget == 0) return true
        val unavailable = step.tasks.count { it.name != name && !isAvailable(it) }
        return unavailable < budget
    }

    /** Returns whether [task] is known to be available, which an executor that does not answer does not show. */
    private fun isAvailable(task: TaskRow): Boolean {
        val run = task.active ?: return false
        val reachable = tables.executors[run.executor]?.reachable == true
        return reachable && run.phase == RunPhase.Running && run.percent >= 100
    }

    private fun stopStalledRuns(now: Instant) {
        for (executor in tables.executors.values) {
            val listedAt = executor.listedAt
            if (!executor.reachable || listedAt == null) continue
            for ((name, run) in executor.runs) {
                if (mayHaveStalled(run, listedAt, now)) stopIfStalled(executor, name, run, now)
            }
        }
    }

    /** Returns whether [run] has been without progress for some time, and the newest listing has shown that. */
    private fun mayHaveStalled(run: ActiveRun, listedAt: Instant, now: Instant): Boolean =
        run.phase == RunPhase.Running &&
            run.pace > 0 &&
            run.listedAt == listedAt &&
            now - run.percentSince > minOf(policy.stallTimeout, WARM_UP_TIME_LIMIT) &&
            listedAt - run.percentSince >= policy.stallTimeout / 2

    private fun stopIfStalled(executor: ExecutorRow, name: TaskName, run: ActiveRun, now: Instant) {
        val step = tables.stepOf(name) ?: return
        val task = tables.task(name) ?: return
        if (!stalled(step, run, now)) return
        tables.pendingStops[name] = StopReason.Stalled
        run.phase = RunPhase.Stopping
        task.lastFailedOn = executor.identifier
        listings.recordExecutorFailure(executor, task, now)
        val text = "run stalled task=${name.text} percent=${run.percent} since=${run.percentSince}"
        tables.events += SchedulerEvent(name.job, executor.identifier, text)
    }

    private fun stalled(step: StepRow, run: ActiveRun, now: Instant): Boolean {
        if (step.step.gang) return false
        if (step.step.longRunning) return run.percent in 0..99 && now - run.percentSince > WARM_UP_TIME_LIMIT
        return now - run.percentSince > policy.stallTimeout + policy.restorationTime
    }
}
