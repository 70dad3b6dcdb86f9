package dogwoodgrade.measure

import dogwoodgrade.routing.roundRobinChoice
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Measures the work done from 10 s before a zone is taken out of service until 30 s after its return. */
internal class ZoneCommand : MeasureCommand("zone", "work done while a zone leaves and returns") {
    private val entries by option(ArgType.Int, "entries", description = "number of entries").default(8)
    private val load by option(ArgType.Double, "load", description = "steady demand relative to all slots").default(1.3)

    override fun measure(seeds: List<Long>): Report {
        val steady = BurstDemand(POOL_SIZES.size, 20_000, burstFactor = 1.0, idleFactor = 1.0)
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
                        RUN_SECONDS,
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
            simulation.workDoneAt.getValue(outage.returnedAt + 30_000) -
                simulation.workDoneAt.getValue(outage.takenOutAt - 10_000)
        return listOf(
            work / possibleWork(outage),
            simulation.lateStarts.toDouble(),
            simulation.busyAnswers.toDouble() / simulation.starts,
        )
    }

    /** Returns the slot time of the other zones, plus that of this zone while in service, weighted by its speed. */
    private fun possibleWork(outage: ZoneOutage): Double {
        val zoneSlots = POOL_SIZES.sumOf { (it + ZONE_COUNT - 1) / ZONE_COUNT } * SLOTS_PER_INSTANCE
        val allSlots = POOL_SIZES.sum() * SLOTS_PER_INSTANCE
        val fullSpeedMilliseconds = 10_000 + 30_000 - outage.coldMilliseconds
        val otherZonesWork = (allSlots - zoneSlots) * (40_000.0 + outage.returnedAt - outage.takenOutAt)
        return otherZonesWork + zoneSlots * (fullSpeedMilliseconds + outage.coldMilliseconds * outage.coldSpeed)
    }

    private companion object {
        const val RUN_SECONDS = 81L
    }
}
