package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Pause before a stop without effect is sent again; a stop takes up to 400 ms at an executor. */
private val stopRepeat: Duration = 600.milliseconds

/** Time a long-running task may take until it is at work before its executor is doubted. */
private val warmUp: Duration = 4.seconds

/** Decides which runs to stop: of ended jobs, on executors that leave, and those that stand still. */
internal class StopPlanner(
    private val tables: FleetTables,
    private val listings: ListingProcessor,
    private val policy: SchedulingPolicy,
) {
    fun plan(now: Instant): List<Order> {
        leaveExecutors()
        moveStalled(now)
        val orders = mutableListOf<Order>()
        for ((name, reason) in tables.stopsWanted.toList()) {
            val run = tables.task(name)?.active
            if (run == null) {
                tables.stopsWanted -= name
                continue
            }
            // A run that is not ordered yet is given up when its start is due.
            if (run.phase == RunPhase.Planned) continue
            val sentAt = run.stopSentAt
            if (sentAt != null && now - sentAt < stopRepeat) continue
            run.stopSentAt = now
            run.stopReason = reason
            run.phase = RunPhase.Stopping
            orders += Order.Stop(run.executor, name, run.run, reason)
        }
        return orders + listings.takeStrayStops(now)
    }

    /** Long-running tasks do not end by themselves before an executor leaves, so they are moved. */
    private fun leaveExecutors() {
        for (executor in tables.executors.values) {
            if (!executor.report.draining && !executor.retiring) continue
            for ((name, run) in executor.runs) {
                val step = tables.stepOf(name) ?: continue
                if (!step.step.longRunning || run.phase == RunPhase.Stopping) continue
                if (executor.report.draining || mayInterrupt(step, name)) {
                    run.phase = RunPhase.Stopping
                    tables.stopsWanted[name] = StopReason.Moved
                }
            }
        }
    }

    /** Tells whether planned work may make one more task of [step] unavailable. */
    fun mayInterrupt(step: StepRow, name: TaskName): Boolean {
        val budget = step.step.unavailabilityBudget
        if (budget == 0) return true
        val away = step.tasks.count { it.name != name && !atWork(it) }
        return away < budget
    }

    private fun atWork(task: TaskRow): Boolean {
        val run = task.active ?: return false
        return run.phase == RunPhase.Running && run.percent >= 100
    }

    private fun moveStalled(now: Instant) {
        for (executor in tables.executors.values) {
            if (!executor.reachable) continue
            for ((name, run) in executor.runs) {
                if (run.phase != RunPhase.Running || run.pace == 0) continue
                val step = tables.stepOf(name) ?: continue
                if (!stalled(step, run, now)) continue
                tables.stopsWanted[name] = StopReason.Stalled
                run.phase = RunPhase.Stopping
                val task = tables.task(name) ?: continue
                task.lastFailedOn = executor.identifier
                listings.blame(executor, task, now)
                val text = "run stalled task=${name.text} percent=${run.percent} since=${run.percentSince}"
                tables.events += SchedulerEvent(name.job, executor.identifier, text)
            }
        }
    }

    private fun stalled(step: StepRow, run: ActiveRun, now: Instant): Boolean {
        if (step.step.gang) return false
        if (step.step.longRunning) return run.percent in 0..99 && now - run.percentSince > warmUp
        return now - run.percentSince > policy.stallTime + policy.restorationTime
    }
}
