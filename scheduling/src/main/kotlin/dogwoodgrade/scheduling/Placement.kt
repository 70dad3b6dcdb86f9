package dogwoodgrade.scheduling

import kotlin.time.Instant

/**
 * Conditions for the placement of a task.
 *
 * @property avoidedZones availability zones in which nothing may start
 * @property needsTicket whether an executor needs a valid advisory ticket
 */
internal data class PlacementContext(
    val now: Instant,
    val avoidedZones: Set<String>,
    val needsTicket: Boolean,
)

/** Returns whether a task may start on [executor], regardless of its step and of the free capacity. */
internal fun acceptsTasks(executor: ExecutorRow, context: PlacementContext): Boolean =
    executor.usable(context.now) && executor.report.zone !in context.avoidedZones

/** Returns those of [executors], all of which accept tasks, on which a task of [row] may start. */
internal fun allowedExecutors(
    row: StepRow,
    executors: List<ExecutorRow>,
    context: PlacementContext,
): List<ExecutorRow> {
    val step = row.step
    if (step.requiredLabel == null && !context.needsTicket) return executors
    return executors.filter { executor ->
        (step.requiredLabel == null || step.requiredLabel in executor.report.labels) &&
            (!context.needsTicket || hasTicket(row, executor, context.now))
    }
}

private fun hasTicket(row: StepRow, executor: ExecutorRow, now: Instant): Boolean {
    val ticket = row.tickets[executor.identifier]
    return ticket != null && ticket.validUntil > now
}

/** Returns the best executor in [allowed] for [task], or `null` if the task fits on none of them. */
internal fun chooseExecutor(row: StepRow, task: TaskRow, allowed: List<ExecutorRow>): ExecutorRow? {
    val counts = if (row.step.tasksPerExecutor > 0) runsByExecutor(row) else emptyMap()
    var best: ExecutorRow? = null
    var bestPenalty = Int.MAX_VALUE
    var bestOrder = Long.MAX_VALUE
    for (executor in allowed) {
        val withinLimit = counts.isEmpty() || (counts[executor.identifier] ?: 0) < row.step.tasksPerExecutor
        if (!withinLimit || !executor.hasRoomFor(row.step.reserved)) continue
        val penalty = penalty(row, task, executor)
        if (penalty > bestPenalty) continue
        val order = fitOrder(row, executor)
        if (penalty == bestPenalty && order >= bestOrder) continue
        best = executor
        bestPenalty = penalty
        bestOrder = order
    }
    return best
}

/** Counts the runs of a step that may exist: also those that copies have replaced. */
private fun runsByExecutor(row: StepRow): Map<ExecutorIdentifier, Int> =
    row.tasks
        .flatMap { listOfNotNull(it.active?.executor, it.abandoned?.executor) }
        .groupingBy { it }
        .eachCount()

private fun penalty(row: StepRow, task: TaskRow, executor: ExecutorRow): Int {
    var penalty = 0
    if (row.step.preferredRack != null && row.step.preferredRack != executor.rack) penalty += 2
    if (task.lastFailedOn == executor.identifier) penalty += 1
    return penalty
}

/**
 * Sort key for executors with the same penalty; the lowest comes first.
 *
 * Long-running tasks prefer executors that already have such tasks, so that other machines can be moved once their
 * batch tasks have ended. Batch tasks prefer the executor with the least free processor capacity.
 */
private fun fitOrder(row: StepRow, executor: ExecutorRow): Long =
    when {
        row.step.usesSpareCapacity -> executor.used.processor
        row.step.longRunning ->
            executor.used.processor - if (executor.longRuns > 0) executor.report.capacity.processor else 0
        else -> executor.free.processor
    }

/** Returns an executor for each ready task of a gang, or `null` if they do not all fit. */
internal fun placeGang(row: StepRow, allowed: List<ExecutorRow>): List<Pair<TaskRow, ExecutorRow>>? {
    val racks = if (row.step.rackLocal) allowed.groupBy { it.rack }.values + listOf(allowed) else listOf(allowed)
    return racks.firstNotNullOfOrNull { placeAll(row, it) }
}

private fun placeAll(row: StepRow, executors: List<ExecutorRow>): List<Pair<TaskRow, ExecutorRow>>? {
    val free = executors.associateWithTo(mutableMapOf()) { it.free }
    val perExecutor = mutableMapOf<ExecutorRow, Int>()
    val placed = mutableListOf<Pair<TaskRow, ExecutorRow>>()
    for (task in row.tasks.filter { it.phase == TaskPhase.Ready }) {
        val limit = row.step.tasksPerExecutor
        val chosen =
            executors
                .filter { row.step.reserved.fitsIn(free.getValue(it)) }
                .filter { limit == 0 || (perExecutor[it] ?: 0) < limit }
                .minByOrNull { free.getValue(it).processor } ?: return null
        free[chosen] = free.getValue(chosen) - row.step.reserved
        perExecutor.merge(chosen, 1, Int::plus)
        placed += task to chosen
    }
    return placed
}
