package dogwoodgrade.node

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.TimeSource

/** Difference between the clocks that shows a suspension; late timers differ by some milliseconds. */
private val suspensionThreshold: Duration = 250.milliseconds

/**
 * Steady time for decisions, and the time of day for what callers and operators name.
 *
 * The steady clock does not count the time during which the machine is suspended, the time of day does. A lease that
 * is measured on the steady clock alone would outlive a suspension.
 */
internal class NodeClock {
    private val startedAt: Instant = Clock.System.now()
    private val mark = TimeSource.Monotonic.markNow()
    private var difference: Duration = Duration.ZERO

    /** Returns the steady time; it never jumps. */
    fun now(): Instant = startedAt + mark.elapsedNow()

    /** Returns the time of day. */
    fun wall(): Instant = Clock.System.now()

    /** Tells whether the machine was suspended, or the time of day was set, since the last call. */
    @Synchronized
    fun suspended(): Boolean {
        val current = wall() - now()
        val jumped = (current - difference).absoluteValue > suspensionThreshold
        difference = current
        return jumped
    }
}
