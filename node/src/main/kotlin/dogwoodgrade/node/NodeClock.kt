package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.TimeSource

/** Change of the difference between the clocks that indicates a suspension; late timers cause some milliseconds. */
private val SUSPENSION_THRESHOLD: Duration = 250.milliseconds

/**
 * Monotonic time for decisions, and the time of day for times that callers and operators state.
 *
 * Unlike the time of day, the monotonic clock does not advance while the machine is suspended. A lease that is measured
 * on the monotonic clock alone would outlast a suspension.
 *
 * @param monotonicTime returns the time of a clock that is never set
 * @param timeOfDay returns the time of day
 */
internal class NodeClock(
    private val monotonicTime: () -> Instant = monotonicTimeSinceNow(),
    private val timeOfDay: () -> Instant = { Clock.System.now() },
) {
    private var difference: Duration = Duration.ZERO

    /** Returns the monotonic time. */
    fun now(): Instant = monotonicTime()

    /** Returns both times. A suspension between the two readings shows in the second one. */
    fun reading(): ClockReading {
        val monotonic = now()
        return ClockReading(monotonic, wallTime())
    }

    /** Returns the time of day. */
    fun wallTime(): Instant = timeOfDay()

    /** Tells whether the machine was suspended, or the time of day was set, since the last call. */
    @Synchronized
    fun wasSuspended(): Boolean {
        val current = wallTime() - now()
        val jumped = (current - difference).absoluteValue > SUSPENSION_THRESHOLD
        difference = current
        return jumped
    }
}

/** Returns a function that counts on from the present time of day, whatever the time of day is set to. */
private fun monotonicTimeSinceNow(): () -> Instant {
    val startedAt = Clock.System.now()
    val mark = TimeSource.Monotonic.markNow()
    return { startedAt + mark.elapsedNow() }
}
