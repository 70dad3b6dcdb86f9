@file:OptIn(kotlinx.cli.ExperimentalCli::class)

package dogwoodgrade.operator

import dogwoodgrade.commandline.parseOrExit
import dogwoodgrade.logclient.httpLogService
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.cli.ArgParser
import kotlinx.coroutines.runBlocking
import java.util.UUID
import kotlin.system.exitProcess
import kotlin.time.Clock

private val commandFactories: List<((OperatorCommand) -> Unit) -> OperatorCommand> =
    listOf(
        ::ShowCommand,
        ::PublishCommand,
        ::ValidateCommand,
        ::CompareCommand,
        ::SetTeamCommand,
        ::GiveKeyCommand,
        ::WithdrawKeyCommand,
        ::SetPoolCommand,
        ::AddInstanceCommand,
        ::MoveInstanceCommand,
        ::DrainCommand,
        ::ReturnCommand,
        ::RemoveCommand,
        { ObserveCommand(failed = true, it) },
        { ObserveCommand(failed = false, it) },
        { ZoneCommand(inService = false, it) },
        { ZoneCommand(inService = true, it) },
        ::SetDocumentCommand,
        ::EntriesCommand,
        ::StateCommand,
        ::PlanWaveCommand,
        ::RunWaveCommand,
        ::RollOutCommand,
    )

/** Runs one operator command; the process exits with the exit status of the command's result code. */
fun main(arguments: Array<String>) {
    exitProcess(runOperator(arguments) { println(it) })
}

/** Runs the command in [arguments], passes its output to [print] and returns its exit status. */
fun runOperator(arguments: Array<String>, print: (String) -> Unit): Int {
    val command = parseCommand(arguments)
    val result =
        if (command == null) {
            CommandResult(ResultCode.UsageError, "no subcommand given; --help lists them")
        } else {
            run(command)
        }
    print(if (command?.json == true) jsonOf(result) else textOf(command, result))
    return result.code.exitStatus
}

/** `show --toml` prints only the message, the fleet file, so that its output can be redirected to a file. */
private fun textOf(command: OperatorCommand?, result: CommandResult): String =
    if (command is ShowCommand && result.code == ResultCode.Accepted && command.toml) result.message else textOf(result)

/** Returns the selected subcommand with its parsed options; a usage error ends the process. */
internal fun parseCommand(arguments: Array<String>): OperatorCommand? {
    var selected: OperatorCommand? = null
    val parser = ArgParser("operator")
    parser.subcommands(*commandFactories.map { create -> create { selected = it } }.toTypedArray())
    parser.parseOrExit(arguments)
    return selected
}

private fun run(command: OperatorCommand): CommandResult {
    val port = command.log.substringAfterLast(':').toIntOrNull()
        ?: return CommandResult(ResultCode.UsageError, "--log ${command.log} does not have the form host:port")
    val vertx = Vertx.vertx()
    return try {
        val client = WebClient.create(vertx)
        val session =
            ControlSession(
                httpLogService(client, command.log.substringBeforeLast(':'), port),
                command.proposer,
                { RecordIdentifier(UUID.randomUUID().toString()) },
            )
        val context =
            OperatorContext(session, httpEntryQuery(client), Clock.System::now, { System.err.println("operator: $it") })
        runBlocking { command.run(context) }
    } catch (failure: IllegalArgumentException) {
        CommandResult(ResultCode.InvalidValue, failure.message ?: "invalid value")
    } finally {
        runBlocking { vertx.close().coAwait() }
    }
}
