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

private suspend fun read(context: OperatorContext, show: suspend (ControlState) -> CommandResult): CommandResult =
    when (val state = context.session.refresh()) {
        is Failure -> resultOf(state)
        is Success -> show(state.value)
    }

internal class ShowCommand(selected: (OperatorCommand) -> Unit) :
    OperatorCommand("show", "Shows the configuration with versions", selected) {
    val toml by option(ArgType.Boolean, "toml", description = "print a file to edit and publish").default(false)

    override suspend fun run(context: OperatorContext): CommandResult =
        read(context) { state ->
            if (toml) {
                CommandResult(ResultCode.Accepted, formatFleetFile(fleetFileOf(state.configuration)))
            } else {
                CommandResult(ResultCode.Accepted, "", configurationTables(state.configuration))
            }
        }
}

internal class StateCommand(selected: (OperatorCommand) -> Unit) :
    OperatorCommand("state", "Shows offset, digest and counts of the folded state", selected) {
    override suspend fun run(context: OperatorContext): CommandResult = read(context) { shown(stateTable(it)) }
}

internal class EntriesCommand(selected: (OperatorCommand) -> Unit) :
    OperatorCommand("entries", "Shows the state and confirmation of each entry", selected) {
    override suspend fun run(context: OperatorContext): CommandResult =
        read(context) { state ->
            val entries = state.entries.values
            val answers = queryAll(entries, "/state", context.query)
            val witness = entries.firstOrNull { answers[it.identity] != null }
            val seen = witness?.let { context.query(it.operatorAddress, "/entries") }?.let(::rowsOf).orEmpty()
            shown(entriesTable(entries, state.offset, answers, seen))
        }

    private fun rowsOf(answer: JsonObject): Map<String, JsonObject> =
        answer["entries"]
            ?.jsonArray
            .orEmpty()
            .map { it.jsonObject }
            .associateBy { textIn(it, "entry").orEmpty() }
}

internal class PlanWaveCommand(selected: (OperatorCommand) -> Unit) :
    OperatorCommand("plan-wave", "Shows the drains that a wave would start with", selected) {
    val wave by argument(ArgType.String, "wave")
    val pools by argument(ArgType.String, "pools", "pools; all if none is named").vararg().optional()

    override suspend fun run(context: OperatorContext): CommandResult =
        read(context) { state ->
            val now = context.now()
            val scope = MaintenanceScope(pools = pools.map(::PoolName).toSet().takeIf { it.isNotEmpty() })
            val start = publishedPlan(state.configuration, wave)?.startedAt
            val dueBefore = start?.let(kotlin.time.Instant::fromEpochMilliseconds) ?: now
            val plan = planWave(state.configuration, scope, now, WaveOptions(wave, dueBefore))
            CommandResult(ResultCode.Accepted, "", planTables(plan))
        }
}

/** Reads and parses the file at [path]. */
internal fun readFleetFile(path: String): Outcome<FleetFile> =
    try {
        parseFleetFile(Files.readString(Path.of(path)))
    } catch (failure: IOException) {
        Failure(ResultCode.InvalidValue, "the file $path cannot be read: ${failure.message}")
    }

internal class ValidateCommand(selected: (OperatorCommand) -> Unit) :
    OperatorCommand("validate", "Checks a file against the present state; appends nothing", selected) {
    val file by argument(ArgType.String, "file")

    override suspend fun run(context: OperatorContext): CommandResult =
        read(context) { state ->
            val changes = readFleetFile(file).flatMap { planFile(state.configuration, it) }
            when (val checked = changes.flatMap { checkAll(state.configuration, it) }) {
                is Failure -> resultOf(checked)
                is Success -> {
                    val rows = (changes as Success).value.map { cells(it::class.simpleName.orEmpty(), itemOf(it)) }
                    val table = Table("changes", listOf("change", "item"), rows)
                    CommandResult(ResultCode.Accepted, "the file is valid; ${rows.size} changes", listOf(table))
                }
            }
        }
}

internal class CompareCommand(selected: (OperatorCommand) -> Unit) :
    OperatorCommand("compare", "Shows what a file would change", selected) {
    val file by argument(ArgType.String, "file")

    override suspend fun run(context: OperatorContext): CommandResult =
        read(context) { state ->
            when (val parsed = readFleetFile(file)) {
                is Failure -> resultOf(parsed)
                is Success -> {
                    val table = compareFile(state.configuration, parsed.value)
                    CommandResult(ResultCode.Accepted, "${table.rows.size} differences", listOf(table))
                }
            }
        }
}

internal class PublishCommand(selected: (OperatorCommand) -> Unit) :
    ChangeCommand("publish", "Proposes what a file changes", selected) {
    val file by argument(ArgType.String, "file")

    override fun plan(): ChangePlan =
        { state ->
            val changes = readFleetFile(file).flatMap { planFile(state, it) }
            // A file that is refused as a whole leaves nothing half applied.
            changes.flatMap { checkAll(state, it) }.flatMap { changes }
        }
}
