package dogwoodgrade.scheduling

import kotlin.time.Instant

/**
 * A run that was replaced by a copy because its executor did not answer. It may still exist there, and counts against
 * the executor and the team until the executor answers or its grants have ended.
 */
internal data class AbandonedRun(
    val run: ActiveRun,
    val step: Step,
    val team: String?,
)

/**
 * Requeues speculative tasks as soon as an answer of their executor is overdue.
 *
 * Other tasks wait until every grant of the executor has ended, because they must never run twice. A task has at most
 * one abandoned run.
 */
internal class SpeculativeCopies(
    private val tables: FleetTables,
) {
    fun plan(now: Instant) {
        for (executor in tables.executors.values) {
            if (!isOverdue(executor, now) && executor.report.zone !in tables.zones.silent) continue
            for ((name, run) in executor.runs.toList()) {
                val task = tables.task(name) ?: continue
                if (mayCopy(name, run) && task.abandoned == null) abandon(executor, task, run, now)
            }
        }
    }

    private fun mayCopy(name: TaskName, run: ActiveRun): Boolean {
        val step = tables.stepOf(name)?.step ?: return false
        val ordered = run.phase != RunPhase.Planned && run.phase != RunPhase.Stopping
        return step.speculative && !step.gang && !step.longRunning && ordered
    }

    private fun abandon(executor: ExecutorRow, task: TaskRow, run: ActiveRun, now: Instant) {
        tables.abandon(executor, task, run)
        if (run.checkpoint.isNotEmpty()) task.checkpoint = run.checkpoint
        tables.requeue(task, now, now)
        val text = "copy wanted task=${task.name.text} run=${run.run} unanswered_since=${executor.unansweredSince}"
        tables.events += SchedulerEvent(task.name.job, executor.identifier, text)
    }
}
