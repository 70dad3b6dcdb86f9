package dogwoodgrade.measure

import dogwoodgrade.routing.roundRobinChoice
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Work done while a zone leaves and returns, from 10 s before it leaves until 30 s after it has returned. */
internal class ZoneCommand : MeasureCommand("zone", "work done while a zone leaves and returns") {
    private val entries by option(ArgType.Int, "entries", description = "number of entries").default(8)
    private val load by option(ArgType.Double, "load", description = "steady demand relative to all slots").default(1.3)

    override fun measure(seeds: List<Long>): Report {
        val steady = BurstDemand(PoolSizes.size, 20_000, high = 1.0, low = 1.0)
        val runs = mapOf<String, (ServiceOptions) -> ServiceOptions>(
            "power of two choices, slow start" to { it },
            "the same, free slots known at once" to { it.copy(exactSlots = true) },
            "round-robin, slow start" to { it.copy(choice = ::roundRobinChoice) },
            "power of two choices, no slow start" to { it.copy(outage = ZoneOutage(slowStart = false)) },
        )
        val rows = runs.flatMap { (label, change) ->
            seeds.map { seed ->
                val options =
                    ServiceOptions(
                        seed,
                        entries,
                        SECONDS,
                        load = load,
                        demand = steady,
                        faults = false,
                        outage = ZoneOutage(),
                    )
                Row(label, seed, figures(ServiceSimulation(change(options)).run()))
            }
        }
        val series = rows.groupBy(Row::label).mapValues { (_, all) -> all.map { it.seed.toDouble() to it.values[0] } }
        val columns = listOf("work done", "starts after 2 s", "busy answers per start")
        return Report(name, columns, rows, Plot("Work done during a zone's leave and return", "seed", "part", series))
    }

    private fun figures(simulation: ServiceSimulation): List<Double> {
        val outage = ZoneOutage()
        val work =
            simulation.workAt.getValue(outage.backAt + 30_000) - simulation.workAt.getValue(outage.outAt - 10_000)
        return listOf(
            work / possibleWork(outage),
            simulation.lateStarts.toDouble(),
            simulation.busyAnswers.toDouble() / simulation.starts,
        )
    }

    /** Slot time of the other zones, and of this one before it leaves and after its return, at its speed then. */
    private fun possibleWork(outage: ZoneOutage): Double {
        val inZone = PoolSizes.sumOf { (it + ZONES - 1) / ZONES } * SLOTS
        val all = PoolSizes.sum() * SLOTS
        val warm = 10_000 + 30_000 - outage.coldMilliseconds
        val others = (all - inZone) * (40_000.0 + outage.backAt - outage.outAt)
        return others + inZone * (warm + outage.coldMilliseconds * outage.coldSpeed)
    }

    private companion object {
        const val SECONDS = 81L
    }
}
