package dogwoodgrade.measure

import dogwoodgrade.maintenance.planOneAtATime
import dogwoodgrade.maintenance.planWave
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Measures the waves and hours to maintain all pools, the batches of a rollout, and the moves of instances. */
internal class MaintenanceCommand : MeasureCommand("maintenance", "waves of maintenance and batches of a rollout") {
    private val withFailures by option(
        ArgType.Boolean,
        "failures",
        description = "instances fail at random",
    ).default(false)

    override fun measure(seeds: List<Long>): Report {
        val planners = mapOf("waves" to ::planWave, "one at a time" to ::planOneAtATime)
        val rows = listOf(CURRENT_FLEET_SIZE, LARGE_FLEET_SIZE).flatMap { size ->
            planners.flatMap { (label, planner) ->
                seeds.map { seed ->
                    val result = MaintenanceSimulation(size, seed, planner, withFailures).run()
                    Row("${size.label}, $label", seed, figures(size, result, planner == ::planWave))
                }
            }
        }
        val series = rows.groupBy(Row::label).mapValues { (_, all) -> all.map { it.seed.toDouble() to it.values[0] } }
        return Report(name, COLUMNS, rows, Plot("Waves to maintain a fleet once", "seed", "waves", series))
    }

    private fun figures(size: FleetSize, result: MaintenanceResult, waves: Boolean): List<Double> {
        val fleet = fleetOf(size)
        val pool = fleet.pools.keys.first()
        val batches = rolloutBatches(fleet, pool, if (waves) Int.MAX_VALUE else 1)
        return listOf(
            result.waves,
            fewestWaves(fleet),
            result.hours,
            result.maintained,
            batches,
            fewestWaves(fleet, pool),
            result.failures,
            result.moves,
            result.mostMovesOfOneInstance,
        ).map(Int::toDouble)
    }

    private companion object {
        val COLUMNS = listOf(
            "waves",
            "fewest waves",
            "hours",
            "maintained",
            "rollout batches",
            "fewest batches",
            "failures",
            "moves",
            "most moves of one in a wave",
        )
    }
}
