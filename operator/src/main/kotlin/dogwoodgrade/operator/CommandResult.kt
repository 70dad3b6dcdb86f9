package dogwoodgrade.operator

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A table of a command's output; [title] is its heading in text and its key in JSON. */
internal data class Table(val title: String, val columns: List<String>, val rows: List<List<String>>)

/** The result of a command: its result code, a message for the operator and tables. */
internal data class CommandResult(val code: ResultCode, val message: String, val tables: List<Table> = emptyList())

/** Returns the result of a successful command that only shows [tables]. */
internal fun tablesResult(vararg tables: Table): CommandResult = CommandResult(ResultCode.Accepted, "", tables.toList())

/** Returns the result of a command that ended with [failure]. */
internal fun resultOf(failure: Outcome.Failure): CommandResult = CommandResult(failure.code, failure.message)

/** Formats [result] for people: tables with aligned columns, then the result code and the message. */
internal fun textOf(result: CommandResult): String {
    val parts = result.tables
        .filter { it.rows.isNotEmpty() }
        .map(::textOf)
        .toMutableList()
    if (result.message.isNotEmpty() || result.code != ResultCode.Accepted) parts += "${result.code}: ${result.message}"
    return parts.joinToString("\n\n")
}

private fun textOf(table: Table): String {
    val lines = listOf(table.columns) + table.rows
    val widths = table.columns.indices.map { column -> lines.maxOf { it[column].length } }
    return table.title + "\n" +
        lines.joinToString("\n") { line ->
            "  " + line.withIndex().joinToString("  ") { (column, cell) -> cell.padEnd(widths[column]) }.trimEnd()
        }
}

/** Formats [result] for scripts: one JSON object on one line. */
internal fun jsonOf(result: CommandResult): String {
    val tables =
        result.tables.associate { table ->
            table.title to JsonArray(table.rows.map { row -> JsonObject(jsonOf(table.columns, row)) })
        }
    val header =
        mapOf(
            "code" to JsonPrimitive(result.code.number),
            "name" to JsonPrimitive(result.code.name),
            "message" to JsonPrimitive(result.message),
        )
    return JsonObject(header + tables).toString()
}

private fun jsonOf(columns: List<String>, row: List<String>): Map<String, JsonPrimitive> =
    columns.zip(row).associate { (column, cell) -> column to JsonPrimitive(cell) }
