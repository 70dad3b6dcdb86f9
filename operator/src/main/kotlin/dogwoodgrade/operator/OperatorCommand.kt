@file:OptIn(kotlinx.cli.ExperimentalCli::class)

package dogwoodgrade.operator

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** A subcommand. Parsing only notes in [selected] which one was chosen; it runs after the whole line was parsed. */
internal abstract class OperatorCommand(
    name: String,
    description: String,
    private val selected: (OperatorCommand) -> Unit,
) : Subcommand(name, description) {
    val log by option(ArgType.String, "log", description = "host:port of the log service").required()
    val json by option(ArgType.Boolean, "json", description = "print JSON for scripts").default(false)
    val proposer by option(ArgType.String, "proposer", description = "your name, written in records")
        .default(System.getProperty("user.name"))

    override fun execute(): Unit = selected(this)

    /** Runs the command. */
    abstract suspend fun run(context: OperatorContext): CommandResult
}

/** A subcommand that proposes changes. */
internal abstract class ChangeCommand(
    name: String,
    description: String,
    selected: (OperatorCommand) -> Unit,
) : OperatorCommand(name, description, selected) {
    /** The changes to propose in a state. */
    abstract fun plan(): ChangePlan

    override suspend fun run(context: OperatorContext): CommandResult = proposeAll(context, plan())
}
