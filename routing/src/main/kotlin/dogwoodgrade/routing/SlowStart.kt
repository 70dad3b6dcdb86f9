package dogwoodgrade.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time in which the share of a returned zone rises to 100%. */
internal val SLOW_START_TIME = 15.seconds

/** Share of new work that a zone receives at the moment of its return. */
internal const val SLOW_START_FIRST_SHARE = 0.1

/** Returns the share, 0.1 to 1, of its usual new work that a zone receives that came back at [returnedAt]. */
public fun slowStartShare(returnedAt: Instant?, now: Instant): Double {
    if (returnedAt == null) return 1.0
    val progress = ((now - returnedAt) / SLOW_START_TIME).coerceIn(0.0, 1.0)
    return SLOW_START_FIRST_SHARE + (1 - SLOW_START_FIRST_SHARE) * progress
}
