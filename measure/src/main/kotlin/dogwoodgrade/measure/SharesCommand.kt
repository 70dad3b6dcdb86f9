package dogwoodgrade.measure

import dogwoodgrade.shares.firstComeFirstServed
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Measures how far the use of a pool deviates from the shares of the teams. */
internal class SharesCommand : MeasureCommand("shares", "largest deviation of a team from its share over 10 s") {
    private val entries by option(ArgType.Int, "entries", description = "number of entries").default(8)
    private val seconds by option(ArgType.Int, "seconds", description = "virtual seconds").default(200)
    private val burst by option(ArgType.Int, "burst", description = "milliseconds of a burst").default(20_000)

    override fun measure(seeds: List<Long>): Report {
        val policies = mapOf<String, (ServiceOptions) -> ServiceOptions>(
            "least usage per share" to { it },
            "least usage per share, free slots known at once" to { it.copy(exactSlots = true) },
            "least usage, own view only" to { it.copy(exchangesUsage = false) },
            "first come first served" to { it.copy(policy = firstComeFirstServed) },
        )
        val rows = ArrayList<Row>()
        val series = LinkedHashMap<String, List<Pair<Double, Double>>>()
        for ((label, policy) in policies) {
            for (seed in seeds) {
                val base = ServiceOptions(seed, entries, seconds.toLong(), burst.toLong())
                val simulation = ServiceSimulation(policy(base)).run()
                val windows = saturatedWindows(simulation.samples, TEAM_PROFILES.map(TeamProfile::share))
                rows += Row(label, seed, figures(simulation, windows))
                series.putIfAbsent(
                    label,
                    windows
                        .groupBy(ShareWindow::start)
                        .map { (start, all) ->
                            start / 1_000.0 to all.maxOf(ShareWindow::deviation)
                        }.sortedBy { it.first },
                )
            }
        }
        val title = "Deviation from shares, seed ${seeds.first()}"
        return Report(name, COLUMNS, rows, Plot(title, "start of the window (s)", "largest deviation", series))
    }

    private fun figures(simulation: ServiceSimulation, windows: List<ShareWindow>): List<Double> {
        val sorted = windows.map(ShareWindow::deviation).sorted()

        fun quantile(fraction: Double) =
            sorted.getOrNull((sorted.size * fraction).toInt().coerceAtMost(sorted.lastIndex)) ?: Double.NaN
        return listOf(
            largest(windows),
            largest(windows.filter(ShareWindow::settled)),
            largest(windows.filter { it.leastWaiting >= LARGE_BACKLOG }),
            quantile(0.95),
            quantile(0.5),
            sorted.size.toDouble(),
            simulation.slotUseWhileSaturated(),
            simulation.busyAnswers.toDouble() / simulation.starts,
        )
    }

    private fun largest(windows: List<ShareWindow>): Double =
        windows.maxOfOrNull(ShareWindow::deviation) ?: Double.NaN

    private companion object {
        /** Waiting requests per team with which nearly every entry has some of each team. */
        const val LARGE_BACKLOG = 40

        val COLUMNS = listOf(
            "largest deviation",
            "after 10 s of saturation",
            "with $LARGE_BACKLOG or more waiting",
            "95th percentile",
            "median",
            "windows",
            "slots used",
            "busy answers per start",
        )
    }
}
