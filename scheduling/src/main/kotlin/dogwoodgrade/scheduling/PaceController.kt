package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Share of its target above which a serving task's tail latency slows the work beside it. */
private const val SLOW_DOWN_AT: Double = 0.75

/** Share of its target above which the work beside a serving task pauses. */
private const val PAUSE_AT: Double = 1.0

/** Share of its target below which the work beside a serving task may speed up. */
private const val SPEED_UP_AT: Double = 0.5

/** Percentage points by which work speeds up at a time. */
private const val SPEED_UP_STEP: Int = 20

/** Pause between two changes of pace; the listed figures cover half a second. */
private val paceInterval: Duration = 700.milliseconds

/** Decides at which pace work that uses spare capacity runs beside serving tasks. */
internal class PaceController(
    private val tables: FleetTables,
) {
    fun plan(now: Instant): List<Order.Pace> =
        tables.executors.values
            .filter { it.reachable }
            .flatMap { plan(it, now) }

    private fun plan(executor: ExecutorRow, now: Instant): List<Order.Pace> {
        val spare = executor.runs.filter { (name, _) -> tables.stepOf(name)?.step?.usesSpareCapacity == true }
        if (spare.isEmpty()) return emptyList()
        val pressure = pressure(executor)
        return spare.mapNotNull { (name, run) ->
            val pace = nextPace(run.pace, pressure)
            val sentAt = run.paceSentAt
            val due = sentAt == null || now - sentAt >= paceInterval
            if (pace == run.pace || run.phase != RunPhase.Running || !due) {
                null
            } else {
                run.pace = pace
                run.paceSentAt = now
                Order.Pace(executor.identifier, name, run.run, pace)
            }
        }
    }

    /** Returns the largest share of its target that a serving task on [executor] uses. */
    private fun pressure(executor: ExecutorRow): Double =
        executor.runs.maxOf { (name, run) ->
            val target = tables.stepOf(name)?.step?.targetLatency
            if (target == null) 0.0 else run.figure / target.inWholeMilliseconds.coerceAtLeast(1)
        }

    private fun nextPace(pace: Int, pressure: Double): Int =
        when {
            pressure >= PAUSE_AT -> 0
            pressure >= SLOW_DOWN_AT -> pace / 2
            pressure < SPEED_UP_AT -> minOf(100, pace + SPEED_UP_STEP)
            else -> pace
        }
}
