package dogwoodgrade.commandline

import dogwoodgrade.model.ResultCode
import kotlinx.cli.ArgParser

private val HELP_OPTIONS = setOf("-h", "--help")

/**
 * Parses [arguments]; a usage error ends the process with the exit status of [ResultCode.UsageError].
 *
 * After a usage error kotlinx-cli exits the process itself, with its own status. A shutdown hook replaces that status;
 * it is removed when the arguments are valid. `-h` and `--help` exit the process with status 0.
 */
public fun ArgParser.parseOrExit(arguments: Array<String>) {
    if (arguments.any { it in HELP_OPTIONS }) {
        parse(arguments)
        return
    }
    val hook = Thread { Runtime.getRuntime().halt(ResultCode.UsageError.exitStatus) }
    Runtime.getRuntime().addShutdownHook(hook)
    parse(arguments)
    Runtime.getRuntime().removeShutdownHook(hook)
}
