package dogwoodgrade.measure

/** The line `y = intercept + slope * x`. */
internal data class Line(val intercept: Double, val slope: Double)

/**
 * Returns the least-squares line through [points].
 *
 * @throws IllegalArgumentException if the points have fewer than two different x values
 */
internal fun fitLine(points: List<Pair<Double, Double>>): Line {
    require(points.map { it.first }.distinct().size >= 2) { "a line needs two different x values" }
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val slope =
        points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    return Line(meanY - slope * meanX, slope)
}
