package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Ratio of a serving task's tail latency to its target from which tasks on spare capacity beside it are slowed. */
private const val SLOW_DOWN_LATENCY_RATIO: Double = 0.75

/** Ratio of tail latency to target from which tasks on spare capacity beside a serving task are paused. */
private const val PAUSE_LATENCY_RATIO: Double = 1.0

/** Ratio of tail latency to target below which tasks on spare capacity beside a serving task may speed up. */
private const val SPEED_UP_LATENCY_RATIO: Double = 0.5

/** Percentage points by which the pace rises at a time. */
private const val SPEED_UP_PERCENTAGE_POINTS: Int = 20

/** Time between two changes of pace. Executors report latency over half a second, so a change shows only after that. */
private val PACE_CHANGE_INTERVAL: Duration = 700.milliseconds

/** Adjusts the pace of tasks that use spare capacity to the tail latency of serving tasks on the same executor. */
internal class PaceController(
    private val tables: FleetTables,
) {
    fun plan(now: Instant): List<Order.Pace> =
        tables.executors.values
            .filter { it.reachable && it.spareRuns > 0 }
            .flatMap { plan(it, now) }

    private fun plan(executor: ExecutorRow, now: Instant): List<Order.Pace> {
        val spare = executor.runs.filter { (name, _) -> tables.stepOf(name)?.step?.usesSpareCapacity == true }
        if (spare.isEmpty()) return emptyList()
        val latencyRatio = latencyRatio(executor)
        return spare.mapNotNull { (name, run) ->
            val pace = nextPace(run.pace, latencyRatio)
            val sentAt = run.paceSentAt
            val due = sentAt == null || now - sentAt >= PACE_CHANGE_INTERVAL
            if (pace == run.pace || run.phase != RunPhase.Running || !due) {
                null
            } else {
                run.pace = pace
                run.paceSentAt = now
                Order.Pace(executor.identifier, name, run.run, pace)
            }
        }
    }

    /** Returns the highest ratio of tail latency to target among the serving tasks on [executor]. */
    private fun latencyRatio(executor: ExecutorRow): Double =
        executor.runs.maxOf { (name, run) ->
            val target = tables.stepOf(name)?.step?.targetLatency
            if (target == null) 0.0 else run.measurement / target.inWholeMilliseconds.coerceAtLeast(1)
        }

    private fun nextPace(pace: Int, latencyRatio: Double): Int =
        when {
            latencyRatio >= PAUSE_LATENCY_RATIO -> 0
            latencyRatio >= SLOW_DOWN_LATENCY_RATIO -> pace / 2
            latencyRatio < SPEED_UP_LATENCY_RATIO -> minOf(100, pace + SPEED_UP_PERCENTAGE_POINTS)
            else -> pace
        }
}
