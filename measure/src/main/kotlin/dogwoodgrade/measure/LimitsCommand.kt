package dogwoodgrade.measure

import dogwoodgrade.limits.PermitPolicy
import dogwoodgrade.limits.floorFirstTargets
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlin.time.Duration.Companion.milliseconds

/** Measures which part of the upper limits teams can use when their demand moves between zones. */
internal class LimitsCommand : MeasureCommand("limits", "part of the upper limits that is usable where the demand is") {
    private val entries by option(ArgType.Int, "entries", description = "number of entries").default(8)
    private val teams by option(ArgType.Int, "teams", description = "number of teams").default(6)
    private val limit by option(ArgType.Int, "limit", description = "upper limit of each team").default(48)
    private val seconds by option(ArgType.Int, "seconds", description = "virtual seconds").default(120)
    private val latency by option(ArgType.Int, "log-latency", description = "milliseconds of an append").default(20)

    private val reportInterval by option(
        ArgType.Int,
        "report-interval",
        description = "least milliseconds between reports of an entry, if more than the policy's",
    ).default(0)

    override fun measure(seeds: List<Long>): Report {
        val rows = listOf(false, true).flatMap { withCutOff ->
            policies().flatMap { (label, policy) ->
                val name = if (withCutOff) "$label, zone cut off" else label
                seeds.map { Row(name, it, figures(LimitsSimulation(options(it, policy, withCutOff)).run())) }
            }
        }
        val series = rows.groupBy(Row::label).mapValues { (_, runs) -> runs.map { it.seed.toDouble() to it.values[0] } }
        return Report(name, COLUMNS, rows, Plot("Use of upper limits", "seed", "usable part", series))
    }

    private fun policies(): Map<String, PermitPolicy?> {
        val defaultPolicy = PermitPolicy()
        val policy = defaultPolicy.copy(
            reportInterval = { maxOf(defaultPolicy.reportInterval(it), reportInterval.milliseconds) },
        )
        return mapOf(
            "demand first" to policy,
            "floor first" to policy.copy(targets = ::floorFirstTargets),
            "static split" to null,
        )
    }

    private fun options(seed: Long, policy: PermitPolicy?, withCutOff: Boolean): LimitOptions {
        val window = if (withCutOff) seconds * 300L until seconds * 600L else LongRange.EMPTY
        return LimitOptions(seed, entries, teams, limit, seconds, policy, latency.toLong(), window)
    }

    private fun figures(totals: LimitTotals): List<Double> {
        val waits = totals.waits.sorted()
        return listOf(
            totals.runningTime.toDouble() / totals.possibleTime,
            if (totals.cutOffPossibleTime == 0L) {
                Double.NaN
            } else {
                totals.cutOffRunningTime.toDouble() / totals.cutOffPossibleTime
            },
            totals.appends / seconds.toDouble(),
            waits[waits.size / 2].toDouble(),
            waits[waits.size * 99 / 100].toDouble(),
            totals.startsOverLimit.toDouble(),
        )
    }

    private companion object {
        val COLUMNS = listOf(
            "usable part",
            "part in the cut-off zone",
            "appends/s",
            "median wait (ms)",
            "99th percentile (ms)",
            "starts above the limit",
        )
    }
}
