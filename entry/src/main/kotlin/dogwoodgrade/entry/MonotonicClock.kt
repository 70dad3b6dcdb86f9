package dogwoodgrade.entry

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * Clock that never jumps: the wall-clock time at its creation plus the monotonic time elapsed since then.
 *
 * Monotonic time advances while the process is stopped by a signal, so a pause shows as a gap between ticks.
 */
internal class MonotonicClock {
    private val startedAt: Instant = Clock.System.now()
    private val mark = TimeSource.Monotonic.markNow()

    /** Returns the current time. */
    fun now(): Instant = startedAt + mark.elapsedNow()
}
