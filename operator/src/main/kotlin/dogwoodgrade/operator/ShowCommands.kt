package dogwoodgrade.operator

import dogwoodgrade.control.ControlState
import dogwoodgrade.maintenance.MaintenanceScope
import dogwoodgrade.maintenance.WaveOptions
import dogwoodgrade.maintenance.planWave
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.flatMap
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private suspend fun withState(context: OperatorContext, show: suspend (ControlState) -> CommandResult): CommandResult =
    when (val state = context.session.refresh()) {
        is Failure -> resultOf(state)
        is Success -> show(state.value)
    }

internal class ShowCommand(onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand("show", "Shows the configuration with versions", onSelected) {
    val toml by option(ArgType.Boolean, "toml", description = "print a file to edit and publish").default(false)

    override suspend fun run(context: OperatorContext): CommandResult =
        withState(context) { state ->
            if (toml) {
                CommandResult(ResultCode.Accepted, formatFleetFile(fleetFileOf(state.configuration)))
            } else {
                CommandResult(ResultCode.Accepted, "", configurationTables(state.configuration))
            }
        }
}

internal class StateCommand(onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand("state", "Shows offset, digest and counts of the current state", onSelected) {
    override suspend fun run(context: OperatorContext): CommandResult =
        withState(context) { tablesResult(stateTable(it)) }
}

internal class EntriesCommand(onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand("entries", "Shows the state and confirmation of each entry", onSelected) {
    override suspend fun run(context: OperatorContext): CommandResult =
        withState(context) { state ->
            val entries = state.entries.values
            val answers = queryAll(entries, "/state", context.query)
            val answering = entries.firstOrNull { answers[it.identity] != null }
            val gossipRows = answering?.let { context.query(it.operatorAddress, "/entries") }?.let(::rowsOf).orEmpty()
            tablesResult(entriesTable(entries, state.offset, answers, gossipRows))
        }

    private fun rowsOf(answer: JsonObject): Map<String, JsonObject> =
        answer["entries"]
            ?.jsonArray
            .orEmpty()
            .map { it.jsonObject }
            .associateBy { textField(it, "entry").orEmpty() }
}

internal class PlanWaveCommand(onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand("plan-wave", "Shows the drains that a wave would start with", onSelected) {
    val wave by argument(ArgType.String, "wave")
    val pools by argument(ArgType.String, "pools", "pools; all if none is named").vararg().optional()

    override suspend fun run(context: OperatorContext): CommandResult =
        withState(context) { state ->
            val now = context.now()
            val scope = MaintenanceScope(pools = pools.map(::PoolName).toSet().takeIf { it.isNotEmpty() })
            val start = publishedPlan(state.configuration, wave)?.startedAt
            val dueBefore = start?.let(kotlin.time.Instant::fromEpochMilliseconds) ?: now
            val plan = planWave(state.configuration, scope, now, WaveOptions(wave, dueBefore))
            CommandResult(ResultCode.Accepted, "", planTables(plan))
        }
}

/** Reads and parses the fleet file at [path]. */
internal fun readFleetFile(path: String): Outcome<FleetFile> =
    try {
        parseFleetFile(Files.readString(Path.of(path)))
    } catch (failure: IOException) {
        Failure(ResultCode.InvalidValue, "the file $path cannot be read: ${failure.message}")
    }

internal class ValidateCommand(onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand("validate", "Checks a file against the current state; appends nothing", onSelected) {
    val file by argument(ArgType.String, "file")

    override suspend fun run(context: OperatorContext): CommandResult =
        withState(context) { state ->
            val changes = readFleetFile(file).flatMap { planFile(state.configuration, it) }
            when (val checked = changes.flatMap { applyAll(state.configuration, it) }) {
                is Failure -> resultOf(checked)
                is Success -> {
                    val rows = (changes as Success).value.map { cells(it::class.simpleName.orEmpty(), itemOf(it)) }
                    val table = Table("changes", listOf("change", "item"), rows)
                    CommandResult(ResultCode.Accepted, "the file is valid; ${rows.size} changes", listOf(table))
                }
            }
        }
}

internal class CompareCommand(onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand("compare", "Shows what a file would change", onSelected) {
    val file by argument(ArgType.String, "file")

    override suspend fun run(context: OperatorContext): CommandResult =
        withState(context) { state ->
            when (val parsed = readFleetFile(file)) {
                is Failure -> resultOf(parsed)
                is Success -> {
                    val table = compareFile(state.configuration, parsed.value)
                    CommandResult(ResultCode.Accepted, "${table.rows.size} differences", listOf(table))
                }
            }
        }
}

internal class PublishCommand(onSelected: (OperatorCommand) -> Unit) :
    ChangeCommand("publish", "Proposes the changes that a file makes", onSelected) {
    val file by argument(ArgType.String, "file")

    override fun plan(): ChangePlan =
        { state ->
            val changes = readFleetFile(file).flatMap { planFile(state, it) }
            // All changes are checked before the first is proposed, so that a refused file is not partly applied.
            changes.flatMap { applyAll(state, it) }.flatMap { changes }
        }
}
