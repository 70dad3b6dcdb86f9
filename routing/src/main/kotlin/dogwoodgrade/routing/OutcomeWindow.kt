package dogwoodgrade.routing

import kotlin.time.Instant

/** Length of the window over which outcomes are counted, in seconds. */
internal const val WINDOW_SECONDS = 10L

/**
 * Outcomes of the requests that were started on an endpoint.
 *
 * @property failures failures that count against the endpoint
 * @property requestFaults failures that were found to be the fault of the request
 */
internal data class OutcomeCounts(val starts: Int = 0, val failures: Int = 0, val requestFaults: Int = 0) {
    val failureRate: Double get() = if (starts == 0) 0.0 else failures.toDouble() / starts

    operator fun plus(other: OutcomeCounts): OutcomeCounts =
        OutcomeCounts(starts + other.starts, failures + other.failures, requestFaults + other.requestFaults)
}

/** Outcome counts of the last [WINDOW_SECONDS] seconds, in buckets of one second, so that memory is bounded. */
internal data class OutcomeWindow(private val buckets: Map<Long, OutcomeCounts> = emptyMap()) {
    fun add(failed: Boolean, now: Instant): OutcomeWindow {
        val second = now.epochSeconds
        val recent = buckets.filterKeys { it > second - WINDOW_SECONDS }
        val added = OutcomeCounts(starts = 1, failures = if (failed) 1 else 0)
        return OutcomeWindow(recent + (second to (recent[second] ?: OutcomeCounts()) + added))
    }

    /** Counts a failure that was added at [time] as a fault of the request, unless it is too old for the window. */
    fun withdrawFailure(time: Instant): OutcomeWindow {
        val second = time.epochSeconds
        val bucket = buckets[second]?.takeIf { it.failures > 0 } ?: return this
        return OutcomeWindow(buckets + (second to bucket + OutcomeCounts(0, -1, 1)))
    }

    fun countsAt(now: Instant): OutcomeCounts = countsSince(now.epochSeconds - WINDOW_SECONDS + 1)

    /** Returns the failures of the current and the previous second. */
    fun recentFailures(now: Instant): Int = countsSince(now.epochSeconds - 1).failures

    private fun countsSince(second: Long): OutcomeCounts =
        buckets.entries.fold(OutcomeCounts()) { sum, (key, counts) -> if (key >= second) sum + counts else sum }
}
