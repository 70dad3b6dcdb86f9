package dogwoodgrade.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Largest backoff before the first retry. */
internal val INITIAL_BACKOFF = 25.milliseconds

/** Largest backoff before any retry. */
internal val MAX_BACKOFF = 1.seconds

/**
 * Returns the time to wait before the next attempt after [attempts] attempts: uniform between zero and a bound that
 * starts at 25 ms and doubles up to 1 s (full jitter), so that requests that failed together are not retried together.
 */
public fun retryBackoff(attempts: Int, random: Random): Duration {
    require(attempts > 0) { "backoff after $attempts attempts" }
    return doubled(INITIAL_BACKOFF, attempts, MAX_BACKOFF) * random.nextDouble()
}

/** Returns [first] doubled ([times] - 1) times, at most [longest]. */
internal fun doubled(first: Duration, times: Int, longest: Duration): Duration {
    var duration = first
    repeat(times - 1) {
        if (duration >= longest) return longest
        duration *= 2
    }
    return minOf(duration, longest)
}
