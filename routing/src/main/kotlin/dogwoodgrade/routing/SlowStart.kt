package dogwoodgrade.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time in which the share of new work of a zone that came back into service rises to 100%. */
internal val SLOW_START_TIME = 15.seconds

/** Share of its usual new work that a zone receives when it comes back into service. */
internal const val SLOW_START_INITIAL_SHARE = 0.1

/** Returns the share, 0.1 to 1, of its usual new work that a zone receives after it came back at [returnedAt]. */
public fun slowStartShare(returnedAt: Instant?, now: Instant): Double {
    if (returnedAt == null) return 1.0
    val progress = ((now - returnedAt) / SLOW_START_TIME).coerceIn(0.0, 1.0)
    return SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * progress
}
