package dogwoodgrade.measure

import java.util.Locale

/** A line chart; [series] holds the points of each line by its legend text. */
internal data class Plot(
    val title: String,
    val xAxisTitle: String,
    val yAxisTitle: String,
    val series: Map<String, List<Pair<Double, Double>>>,
)

// Size of the document and bounds of the plot area, in SVG user units.
private const val WIDTH = 760
private const val HEIGHT = 420
private const val LEFT = 70
private const val RIGHT = 560
private const val TOP = 40
private const val BOTTOM = 360

/** Number of equal intervals that the tick labels divide each axis into. */
private const val TICK_INTERVALS = 5
private val SERIES_COLOURS = listOf("#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad", "#b8860b", "#455a64")

/** Returns the chart as an SVG document; both axes start at 0 unless a value is negative. */
internal fun Plot.svg(): String {
    val points = series.values.flatten()
    val xAxis = Axis(points.map { it.first }, LEFT, RIGHT)
    val yAxis = Axis(points.map { it.second }, BOTTOM, TOP)
    val parts = ArrayList<String>()
    parts += textElement(LEFT, TOP - 16, title, size = 15)
    parts += lineElement(LEFT, BOTTOM, RIGHT, BOTTOM)
    parts += lineElement(LEFT, BOTTOM, LEFT, TOP)
    for (tick in 0..TICK_INTERVALS) {
        val x = xAxis.valueAt(tick)
        val y = yAxis.valueAt(tick)
        parts += textElement(xAxis.position(x).toInt(), BOTTOM + 16, formatNumber(x), "middle")
        parts += textElement(LEFT - 6, yAxis.position(y).toInt() + 4, formatNumber(y), "end")
    }
    parts += textElement((LEFT + RIGHT) / 2, BOTTOM + 40, xAxisTitle, "middle")
    parts += textElement(LEFT, TOP - 2, yAxisTitle)
    for ((index, entry) in series.entries.withIndex()) {
        val colour = SERIES_COLOURS[index % SERIES_COLOURS.size]
        val path = entry.value.joinToString(
            " ",
        ) { (x, y) -> "${formatCoordinate(xAxis.position(x))},${formatCoordinate(yAxis.position(y))}" }
        parts += """<polyline fill="none" stroke="$colour" stroke-width="1.5" points="$path"/>"""
        val legendY = TOP + 20 * index
        parts += """<rect x="${RIGHT + 12}" y="${legendY - 8}" width="12" height="4" fill="$colour"/>"""
        parts += textElement(RIGHT + 30, legendY, entry.key)
    }
    val svgTag = """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $HEIGHT" font-family="sans-serif">"""
    return (listOf(svgTag) + parts + "</svg>").joinToString("\n", postfix = "\n")
}

/** Maps values linearly to positions between [from] and [until], in SVG user units. */
private class Axis(values: List<Double>, private val from: Int, private val until: Int) {
    private val low = minOf(0.0, values.minOrNull() ?: 0.0)
    private val high = maxOf(values.maxOrNull() ?: 1.0, low).let { if (it > low) it else low + 1 }

    fun position(value: Double): Double = from + (value - low) / (high - low) * (until - from)

    fun valueAt(tick: Int): Double = low + (high - low) * tick / TICK_INTERVALS
}

private fun lineElement(x1: Int, y1: Int, x2: Int, y2: Int): String =
    """<line x1="$x1" y1="$y1" x2="$x2" y2="$y2" stroke="#333"/>"""

private fun textElement(x: Int, y: Int, content: String, anchor: String = "start", size: Int = 11): String =
    """<text x="$x" y="$y" text-anchor="$anchor" font-size="$size">${escapeXml(content)}</text>"""

private fun escapeXml(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

private fun formatCoordinate(value: Double): String = String.format(Locale.ROOT, "%.1f", value)
