package dogwoodgrade.measure

import dogwoodgrade.commandline.parseOrExit
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Runs the measurement that the subcommand names and prints its table. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser("measure")
    parser.subcommands(
        SharesCommand(),
        LimitsCommand(),
        ZoneCommand(),
        MaintenanceCommand(),
        BufferCommand(),
        ControlCostCommand(),
        SchedulerCostCommand(),
    )
    parser.parseOrExit(arguments)
}
