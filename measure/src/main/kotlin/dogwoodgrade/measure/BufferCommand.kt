package dogwoodgrade.measure

import dogwoodgrade.maintenance.BufferDemand
import dogwoodgrade.maintenance.FailureDomain
import dogwoodgrade.maintenance.fixedBuffer
import dogwoodgrade.maintenance.sizeBuffer
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Measures the spare instances for the loss of a failure domain, and the start delay of urgent work by its reserve. */
internal class BufferCommand : MeasureCommand("buffer", "spare instances, and start time of urgent work") {
    private val seconds by option(ArgType.Int, "seconds", description = "virtual seconds of urgent work").default(300)
    private val rate by option(ArgType.Double, "urgent-rate", description = "urgent requests a second").default(1.5)

    override fun measure(seeds: List<Long>): Report {
        val buffers = listOf(CURRENT_FLEET_SIZE, LARGE_FLEET_SIZE).flatMap { size ->
            FailureDomain.entries.flatMap { domain -> buffers(size, domain, seeds.first()) }
        }
        val urgent = RESERVE_SIZES.flatMap { reserve -> seeds.map { urgent(reserve, it) } }
        val points = urgent.groupBy { it.values[RESERVE_COLUMN] }.map { (reserve, all) ->
            reserve to
                all.maxOf { it.values[PERCENTILE_99_9_COLUMN] }
        }
        val plot = Plot(
            "Urgent work",
            "reserve (slots)",
            "99.9th percentile of the start (ms)",
            mapOf(
                "worst seed" to points,
            ),
        )
        return Report(name, COLUMNS, buffers + urgent, plot)
    }

    private fun buffers(size: FleetSize, domain: FailureDomain, seed: Long): List<Row> {
        val fleet = fleetOf(size)
        return listOf(0, size.budget).flatMap { tolerated ->
            val demand = BufferDemand(fleet.pools.keys - SPARE_POOL, domain) { tolerated }
            mapOf("sized" to ::sizeBuffer, "spare pool" to fixedBuffer(SPARE_POOL)).map { (label, sizing) ->
                val buffer = sizing(fleet, demand)
                val figures = listOf(buffer.instances, buffer.largestLoss, if (buffer.survives) 1 else 0)
                val none = List(COLUMNS.size - figures.size) { Double.NaN }
                Row("${size.label}, $domain, $tolerated tolerated, $label", seed, figures.map(Int::toDouble) + none)
            }
        }
    }

    private fun urgent(reserve: Int, seed: Long): Row {
        val waits = UrgentSimulation(seed, reserve, rate).run(seconds.toLong()).waits.sorted()
        val figures = listOf(
            reserve.toDouble(),
            waits.size.toDouble(),
            waits[waits.size / 2].toDouble(),
            waits[(waits.size * 999L / 1_000).toInt()].toDouble(),
        )
        return Row("urgent work, reserve of $reserve", seed, List(RESERVE_COLUMN) { Double.NaN } + figures)
    }

    private companion object {
        // Indices into COLUMNS.
        const val RESERVE_COLUMN = 3
        const val PERCENTILE_99_9_COLUMN = 6

        /** Sizes of the urgent reserve, in slots. */
        val RESERVE_SIZES = listOf(1, 2, 3, 4, 6)
        val COLUMNS = listOf(
            "spare instances",
            "largest loss",
            "survives",
            "reserve (slots)",
            "urgent starts",
            "median (ms)",
            "99.9th percentile (ms)",
        )
    }
}
