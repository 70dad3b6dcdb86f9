@file:OptIn(kotlinx.cli.ExperimentalCli::class)

package dogwoodgrade.operator

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** A subcommand. Parsing only reports it to [onSelected]; it runs after the whole command line has been parsed. */
internal abstract class OperatorCommand(
    name: String,
    description: String,
    private val onSelected: (OperatorCommand) -> Unit,
) : Subcommand(name, description) {
    val log by option(ArgType.String, "log", description = "host:port of the log service").required()
    val json by option(ArgType.Boolean, "json", description = "print JSON for scripts").default(false)
    val proposer by option(ArgType.String, "proposer", description = "name of the operator, stored in records")
        .default(System.getProperty("user.name"))

    override fun execute(): Unit = onSelected(this)

    /** Runs the command with its parsed options. */
    abstract suspend fun run(context: OperatorContext): CommandResult
}

/** A subcommand that proposes changes. */
internal abstract class ChangeCommand(
    name: String,
    description: String,
    onSelected: (OperatorCommand) -> Unit,
) : OperatorCommand(name, description, onSelected) {
    /** Returns the function that chooses the changes to propose in a state. */
    abstract fun plan(): ChangePlan

    override suspend fun run(context: OperatorContext): CommandResult = proposeAll(context, plan())
}
