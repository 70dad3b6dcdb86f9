package dogwoodgrade.measure

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** A subcommand that runs one measurement with several seeds and publishes its report. */
@OptIn(ExperimentalCli::class)
internal abstract class MeasureCommand(name: String, description: String) : Subcommand(name, description) {
    private val seed by option(ArgType.Int, "seed", description = "first seed").default(1)
    private val runs by option(ArgType.Int, "runs", description = "number of seeds, from the first on").default(3)
    private val output by option(
        ArgType.String,
        "output",
        description = "directory of the CSV file and plot",
    ).default("")

    abstract fun measure(seeds: List<Long>): Report

    override fun execute() {
        require(runs in 1..1_000) { "the number of seeds $runs is not in 1..1000" }
        measure(List(runs) { seed.toLong() + it }).publish(output)
    }
}
