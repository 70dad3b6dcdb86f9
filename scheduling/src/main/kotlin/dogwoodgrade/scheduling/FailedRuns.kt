package dogwoodgrade.scheduling

/** Most failed runs of one task that are kept by their number, so that its record stays bounded. */
private const val MOST_NUMBERED_FAILURES = 32

/**
 * Failed runs of one task.
 *
 * An end may be listed again, to this owner or the next one, so that failures are told apart by the numbers of their
 * runs. Of a task that fails very often, only the newest numbers are kept; a run below them counts as known.
 *
 * @property numbers numbers of the newest failed runs
 * @property earlier number of the failed runs before those
 */
public data class FailedRuns(
    public val numbers: Set<Long> = emptySet(),
    public val earlier: Int = 0,
) {
    /** Number of failed runs. */
    val count: Int get() = numbers.size + earlier

    /** Returns whether [run] has been counted. */
    public operator fun contains(run: Long): Boolean =
        run in numbers || earlier > 0 && numbers.all { run < it }

    /** Returns the failed runs together with [run]. */
    public operator fun plus(run: Long): FailedRuns = if (run in this) this else of(numbers + run, earlier)

    public companion object {
        /** Returns the failed runs with these [numbers] and the [earlier] ones before them. */
        public fun of(numbers: Set<Long>, earlier: Int = 0): FailedRuns {
            val excess = numbers.size - MOST_NUMBERED_FAILURES
            if (excess <= 0) return FailedRuns(numbers, earlier)
            return FailedRuns(numbers.sorted().drop(excess).toSet(), earlier + excess)
        }
    }
}
