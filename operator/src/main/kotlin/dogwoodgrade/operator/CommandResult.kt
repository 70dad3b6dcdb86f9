package dogwoodgrade.operator

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Rows for an operator, named [title] in JSON. */
internal data class Table(val title: String, val columns: List<String>, val rows: List<List<String>>)

/** What a command ends with: a code, a sentence and tables. */
internal data class CommandResult(val code: ResultCode, val message: String, val tables: List<Table> = emptyList())

/** Returns the result of a command that only shows [tables]. */
internal fun shown(vararg tables: Table): CommandResult = CommandResult(ResultCode.Accepted, "", tables.toList())

/** Returns the result of a command that failed. */
internal fun resultOf(failure: Outcome.Failure): CommandResult = CommandResult(failure.code, failure.message)

/** Returns the form for people: aligned columns, then the outcome. */
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

/** Returns the form for scripts: one JSON object on one line. */
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
