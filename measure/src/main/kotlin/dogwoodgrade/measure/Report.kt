package dogwoodgrade.measure

import java.io.File
import java.util.Locale

/** Figures of one run: [label] names the policy or fleet size, [values] are in the order of the report's columns. */
internal data class Row(val label: String, val seed: Long, val values: List<Double>)

/** Results of a subcommand; [name] is the name of the files that they are written to, without the extension. */
internal data class Report(
    val name: String,
    val columns: List<String>,
    val rows: List<Row>,
    val plot: Plot,
)

/** Returns the median and, if the [values] differ, the minimum and maximum. */
internal fun formatMedianAndRange(values: List<Double>): String {
    val sorted = values.sorted()
    val middle = sorted.size / 2
    val median = if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
    val range = if (sorted.first() < sorted.last()) {
        " (${formatNumber(sorted.first())} to ${formatNumber(sorted.last())})"
    } else {
        ""
    }
    return formatNumber(median) + range
}

/** Returns the table as text, one line per label, with the median and range over the seeds. */
internal fun Report.table(): String {
    val lines = listOf(listOf("run") + columns) +
        rows.groupBy(Row::label).map { (label, runs) ->
            listOf(label) + columns.indices.map { column -> formatMedianAndRange(runs.map { it.values[column] }) }
        }
    val widths = lines.first().indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { cells ->
        cells.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}

/** Returns the rows as CSV with a header line. */
internal fun Report.csv(): String =
    (
        listOf(listOf("run", "seed") + columns) +
            rows.map { listOf(it.label, "${it.seed}") + it.values.map(::formatNumber) }
    ).joinToString("\n", postfix = "\n") { line -> line.joinToString(",") { "\"$it\"" } }

/** Prints the table and writes the CSV file and the plot if [directory] is not empty. */
internal fun Report.publish(directory: String) {
    println(table())
    if (directory.isEmpty()) return
    val target = File(directory).apply { mkdirs() }
    File(target, "$name.csv").writeText(csv())
    File(target, "$name.svg").writeText(plot.svg())
}

/** Returns [value] with three decimal places, or none from 1,000 on. */
internal fun formatNumber(value: Double): String =
    String.format(Locale.ROOT, if (value >= 1_000) "%.0f" else "%.3f", value)
