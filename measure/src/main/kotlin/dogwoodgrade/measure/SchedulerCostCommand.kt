package dogwoodgrade.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Virtual time before the measurement, in which the pools fill and the code is compiled. */
private val WARM_UP: Duration = 6.seconds

/** Virtual time of the measurement. */
private val MEASURED_TIME: Duration = 6.seconds

/**
 * Measures what the scheduler of an owner costs by the number of executors: time and allocated bytes per started task,
 * per ended task, per record of the live list and per planning pass, and the longest call, for which the owner holds
 * the lock of the fleet table.
 */
internal class SchedulerCostCommand : MeasureCommand("scheduler-cost", "time and memory of scheduling decisions") {
    override fun measure(seeds: List<Long>): Report {
        val sizes = listOf(30, 100, 300, 1_000)
        val rows = sizes.flatMap { size -> seeds.map { row(size, it) } }
        val points = { column: Int ->
            rows.groupBy { it.label.toDouble() }.map { (size, runs) ->
                size to runs.map { it.values[column] }.average()
            }
        }
        val lines = mapOf("per start" to points(0), "per end" to points(2), "per pass" to points(5))
        return Report(name, COLUMNS, rows, Plot("Scheduling time", "executors", "microseconds", lines))
    }

    private fun row(executors: Int, seed: Long): Row {
        val simulation = SchedulerSimulation(executors, seed)
        simulation.start()
        simulation.run(WARM_UP, measured = false)
        simulation.run(MEASURED_TIME, measured = true)
        return with(simulation) {
            val ofStarts = listOf(accepts, passes, commits, startOutcomes)
            val longest = (ofStarts + listings + liveLists).maxOf { it.longestNanoseconds }
            val values =
                listOf(
                    ofStarts.sumOf { it.nanoseconds } / 1_000.0 / starts,
                    ofStarts.sumOf { it.bytes } / 1_000.0 / starts,
                    listings.nanoseconds / 1_000.0 / ends,
                    listings.bytes / 1_000.0 / ends,
                    liveLists.nanoseconds / 1_000.0 / liveListRecords,
                    passes.nanoseconds / 1_000.0 / passes.count,
                    longest / 1_000_000.0,
                    (ofStarts + listings + liveLists).sumOf { it.nanoseconds } / 1_000.0 / ends,
                )
            Row("$executors", seed, values)
        }
    }

    private companion object {
        val COLUMNS =
            listOf(
                "per start (us)",
                "per start (kB)",
                "per end (us)",
                "per end (kB)",
                "per live-list record (us)",
                "per pass (us)",
                "longest call (ms)",
                "all calls per task (us)",
            )
    }
}
