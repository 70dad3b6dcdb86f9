package dogwoodgrade.measure

import java.util.Locale

/** A line chart. */
internal data class Plot(
    val title: String,
    val horizontal: String,
    val vertical: String,
    val series: Map<String, List<Pair<Double, Double>>>,
)

private const val WIDTH = 760
private const val HEIGHT = 420
private const val LEFT = 70
private const val RIGHT = 560
private const val TOP = 40
private const val BOTTOM = 360
private const val TICKS = 5
private val Colours = listOf("#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad", "#b8860b", "#455a64")

/** Returns the chart as an SVG document; both axes start at 0 unless a value is negative. */
internal fun Plot.svg(): String {
    val points = series.values.flatten()
    val xs = Axis(points.map { it.first }, LEFT, RIGHT)
    val ys = Axis(points.map { it.second }, BOTTOM, TOP)
    val parts = ArrayList<String>()
    parts += text(LEFT, TOP - 16, title, size = 15)
    parts += line(LEFT, BOTTOM, RIGHT, BOTTOM)
    parts += line(LEFT, BOTTOM, LEFT, TOP)
    for (tick in 0..TICKS) {
        val x = xs.valueAt(tick)
        val y = ys.valueAt(tick)
        parts += text(xs.position(x).toInt(), BOTTOM + 16, number(x), "middle")
        parts += text(LEFT - 6, ys.position(y).toInt() + 4, number(y), "end")
    }
    parts += text((LEFT + RIGHT) / 2, BOTTOM + 40, horizontal, "middle")
    parts += text(LEFT, TOP - 2, vertical)
    for ((index, entry) in series.entries.withIndex()) {
        val colour = Colours[index % Colours.size]
        val path = entry.value.joinToString(
            " ",
        ) { (x, y) -> "${coordinate(xs.position(x))},${coordinate(ys.position(y))}" }
        parts += """<polyline fill="none" stroke="$colour" stroke-width="1.5" points="$path"/>"""
        val height = TOP + 20 * index
        parts += """<rect x="${RIGHT + 12}" y="${height - 8}" width="12" height="4" fill="$colour"/>"""
        parts += text(RIGHT + 30, height, entry.key)
    }
    val head = """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $HEIGHT" font-family="sans-serif">"""
    return (listOf(head) + parts + "</svg>").joinToString("\n", postfix = "\n")
}

/** Maps values to positions between [from] and [until]. */
private class Axis(values: List<Double>, private val from: Int, private val until: Int) {
    private val low = minOf(0.0, values.minOrNull() ?: 0.0)
    private val high = maxOf(values.maxOrNull() ?: 1.0, low).let { if (it > low) it else low + 1 }

    fun position(value: Double): Double = from + (value - low) / (high - low) * (until - from)

    fun valueAt(tick: Int): Double = low + (high - low) * tick / TICKS
}

private fun line(x1: Int, y1: Int, x2: Int, y2: Int): String =
    """<line x1="$x1" y1="$y1" x2="$x2" y2="$y2" stroke="#333"/>"""

private fun text(x: Int, y: Int, content: String, anchor: String = "start", size: Int = 11): String =
    """<text x="$x" y="$y" text-anchor="$anchor" font-size="$size">${escaped(content)}</text>"""

private fun escaped(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

private fun coordinate(value: Double): String = String.format(Locale.ROOT, "%.1f", value)
