package dogwoodgrade.load

import dogwoodgrade.commandline.parseOrExit
import dogwoodgrade.scenarios.ProgramProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Files
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

/** Runs one measurement with real processes on the loopback address and prints its tables. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("load")
    val kind by parser.argument(ArgType.Choice(listOf("path-cost", "control-cost"), { it }))
    val rounds by parser.option(ArgType.Int, "rounds", description = "counted rounds").default(5)
    val time by parser.option(ArgType.Int, "time", description = "milliseconds of one round").default(1500)
    val connections by parser
        .option(
            ArgType.String,
            "connections",
            description = "list, such as 1,8,64",
        ).default("1,8,64")
    val entries by parser.option(ArgType.String, "entries", description = "list, such as 2,4,8").default("2,4,8")
    val changes by parser.option(ArgType.Int, "changes", description = "changes whose time is measured").default(100)
    val virtualMachineOptions by parser
        .option(ArgType.String, "entry-options", description = "options of the entries' virtual machine, by spaces")
        .default(ProgramProcess.DEFAULT_JVM_OPTIONS.joinToString(" "))
    parser.parseOrExit(arguments)
    val entryOptions = virtualMachineOptions.split(' ')
    val folder = Files.createTempDirectory("dogwoodgrade-load")
    when (kind) {
        "path-cost" -> PathCost(
            PathCostOptions(rounds, time.milliseconds, numbers(connections), entryOptions),
            folder,
        ).run()
        else -> ControlCost(
            ControlCostOptions(numbers(entries), time.milliseconds, changes, entryOptions),
            folder,
        ).run()
    }
    exitProcess(0)
}

private fun numbers(text: String): List<Int> = text.split(',').map { it.trim().toInt() }
