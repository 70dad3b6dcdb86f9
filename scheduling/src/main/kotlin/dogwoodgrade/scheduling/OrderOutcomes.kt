package dogwoodgrade.scheduling

import kotlin.time.Instant

/**
 * Updates runs and executors from the answers to orders.
 *
 * An answer may come from another incarnation than the one that the order was meant for. A later one shows that the
 * executor has restarted, and a run that it confirms exists there. A run that an earlier one confirms has ended with
 * it.
 */
internal class OrderOutcomes(
    private val tables: FleetTables,
    private val listings: ListingProcessor,
    private val policy: SchedulingPolicy,
) {
    fun processStart(order: Order.Start, outcome: StartOutcome, now: Instant) {
        runOf(order)?.inTransit = false
        tables.executors[order.executor]?.orderedStarts?.recordOutcome(order.task, order.run, outcome, now)
        when (outcome) {
            is StartOutcome.Started -> confirm(order, outcome.incarnation, now)
            is StartOutcome.Unknown -> Unit
            is StartOutcome.Rejected -> {
                reject(order, outcome, now)
                recordIncarnation(order.executor, outcome.incarnation, now)
            }
        }
    }

    private fun confirm(order: Order.Start, incarnation: Long?, now: Instant) {
        val run = runOf(order)
        if (run != null) {
            tables.markBegun(order.task.job)
            if (run.confirmedAt == null) run.confirmedAt = now
            if (run.confirmedBy == null) run.confirmedBy = incarnation
            // The run may have waited for its durable record much longer than a run may be without progress.
            if (run.percent < 0) run.percentSince = now
            if (run.phase == RunPhase.Starting) run.phase = RunPhase.Running
        }
        // The run is confirmed first, so that a restart does not end it.
        recordIncarnation(order.executor, incarnation, now)
        val executor = tables.executors[order.executor] ?: return
        if (run != null && run.endedBefore(executor.report.incarnation) && order.task in executor.runs) {
            listings.requeueLostRun(executor, order.task, run, now)
        }
    }

    private fun reject(order: Order.Start, outcome: StartOutcome.Rejected, now: Instant) {
        val task = tables.task(order.task) ?: return
        if (runOf(order) == null) return
        val text = "start rejected reason=${outcome.reason} run=${order.run}"
        tables.events += SchedulerEvent(order.task.job, order.executor, text)
        if (outcome.reason == StartRejection.Unhealthy) {
            tables.executors[order.executor]?.let { listings.recordExecutorFailure(it, task, now) }
            task.lastFailedOn = order.executor
        }
        tables.release(task)
        tables.requeue(task, now, now + policy.rejectionRetryDelay)
        listings.restartGang(task, now)
    }

    fun processStop(order: Order.Stop, executor: ExecutorReport, outcome: StopOutcome, now: Instant) {
        if (outcome !is StopOutcome.Accepted) return
        recordIncarnation(order.executor, outcome.incarnation, now)
        val run = tables.task(order.task)?.active ?: return
        if (run.run != order.run || run.executor != order.executor) return
        run.stopAcceptance = StopAcceptance(outcome.incarnation ?: executor.incarnation, now)
    }

    /** Processes a restart if [incarnation] is later than the known one of the executor. */
    private fun recordIncarnation(identifier: ExecutorIdentifier, incarnation: Long?, now: Instant) {
        val executor = tables.executors[identifier] ?: return
        if (incarnation != null && incarnation > executor.report.incarnation) {
            listings.restart(executor, incarnation, now)
        }
    }

    /** Returns the run that [order] starts, or `null` if it is no longer the active one of its task. */
    private fun runOf(order: Order.Start): ActiveRun? =
        tables.task(order.task)?.active?.takeIf { it.run == order.run && it.executor == order.executor }
}
