package dogwoodgrade.commandline

import dogwoodgrade.model.ResultCode
import kotlinx.cli.ArgParser

private val HelpOptions = setOf("-h", "--help")

/**
 * Parses [arguments]; a usage error ends the process with the exit status of [ResultCode.UsageError].
 *
 * kotlinx-cli ends the process by itself after a usage error, with a status of its own. A shutdown hook replaces the
 * status; it is removed when the arguments are valid. Help ends the process with status 0.
 */
public fun ArgParser.parseOrExit(arguments: Array<String>) {
    if (arguments.any { it in HelpOptions }) {
        parse(arguments)
        return
    }
    val hook = Thread { Runtime.getRuntime().halt(ResultCode.UsageError.exitStatus) }
    Runtime.getRuntime().addShutdownHook(hook)
    parse(arguments)
    Runtime.getRuntime().removeShutdownHook(hook)
}
