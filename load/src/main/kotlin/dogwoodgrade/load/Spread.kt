package dogwoodgrade.load

/** Median, smallest and largest value of several rounds. */
internal data class Spread(val median: Double, val smallest: Double, val largest: Double) {
    /** Returns the values with [digits] decimal places. */
    fun format(digits: Int): String =
        if (median.isNaN()) "-" else "%.${digits}f [%.${digits}f..%.${digits}f]".format(median, smallest, largest)

    companion object {
        /** Returns the spread of [values], with NaN for all values if there are none. */
        fun of(values: List<Double>): Spread {
            if (values.isEmpty()) return Spread(Double.NaN, Double.NaN, Double.NaN)
            val sorted = values.sorted()
            val middle = sorted.size / 2
            val median = if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
            return Spread(median, sorted.first(), sorted.last())
        }
    }
}
