package dogwoodgrade.load

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit

/** Largest recorded latency; larger ones are recorded as this value. */
private const val MAX_LATENCY_NANOSECONDS = 120_000_000_000L
private const val SIGNIFICANT_DIGITS = 3

/**
 * Latencies and outcomes of one load run.
 *
 * An outcome is the HTTP status, followed by the result code of a refusal such as `503/2003`; or `broken` when the
 * connection broke, or `unanswered` when the run ended before the response. Only the latencies of complete responses
 * with status 200 are recorded.
 */
internal class LoadResult {
    private val latencies = Histogram(MAX_LATENCY_NANOSECONDS, SIGNIFICANT_DIGITS)
    private val counts = sortedMapOf<String, Long>()

    /** Time from the start of the run to the end of sending. */
    var elapsed: Duration = Duration.ZERO

    /** Number of requests per outcome. */
    val outcomes: Map<String, Long> get() = counts

    /** Number of requests that were answered with status 200. */
    val succeeded: Long get() = latencies.totalCount

    /** Successful requests per second. */
    val goodput: Double get() = succeeded / elapsed.toDouble(DurationUnit.SECONDS)

    /** Records a request that was answered with status 200. */
    fun success(latencyNanoseconds: Long) {
        latencies.recordValue(latencyNanoseconds.coerceIn(1, MAX_LATENCY_NANOSECONDS))
        count("200")
    }

    /** Adds [requests] to the count of [outcome]. */
    fun count(outcome: String, requests: Long = 1) {
        counts.merge(outcome, requests, Long::plus)
    }

    /** Returns the latency at [percentile], in 0..100. */
    fun latency(percentile: Double): Duration = latencies.getValueAtPercentile(percentile).nanoseconds

    override fun toString(): String {
        val percentiles =
            PERCENTILES.joinToString(" ") { "p$it=%.3fms".format(latency(it).toDouble(DurationUnit.MILLISECONDS)) }
        return "goodput=%.0f/s %s outcomes=%s".format(goodput, percentiles, counts)
    }

    private companion object {
        val PERCENTILES = listOf(50.0, 90.0, 99.0, 99.9, 100.0)
    }
}

/** Returns the outcome of a response, see [LoadResult]. */
internal fun outcomeOf(status: Int, body: String): String {
    val code = RESULT_CODE_PATTERN.find(body)?.groupValues?.get(1)
    return if (status < FIRST_ERROR_STATUS || code == null) "$status" else "$status/$code"
}

private const val FIRST_ERROR_STATUS = 400
private val RESULT_CODE_PATTERN = Regex(""""code":(\d+)""")
