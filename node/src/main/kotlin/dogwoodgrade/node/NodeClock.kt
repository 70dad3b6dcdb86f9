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
 */
internal class NodeClock {
    private val startedAt: Instant = Clock.System.now()
    private val mark = TimeSource.Monotonic.markNow()
    private var difference: Duration = Duration.ZERO

    /** Returns the monotonic time. */
    fun now(): Instant = startedAt + mark.elapsedNow()

    /** Returns both times. A suspension between the two readings shows in the second one. */
    fun reading(): ClockReading {
        val monotonic = now()
        return ClockReading(monotonic, wallTime())
    }

    /** Returns the time of day. */
    fun wallTime(): Instant = Clock.System.now()

    /** Tells whether the machine was suspended, or the time of day was set, since the last call. */
    @Synchronized
    fun wasSuspended(): Boolean {
        val current = wallTime() - now()
        val jumped = (current - difference).absoluteValue > SUSPENSION_THRESHOLD
        difference = current
        return jumped
    }
}
