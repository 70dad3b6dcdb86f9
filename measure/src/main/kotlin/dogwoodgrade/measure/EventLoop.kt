package dogwoodgrade.measure

import java.util.PriorityQueue
import kotlin.time.Instant

/** Runs events in virtual time, in milliseconds from 0. Events of the same time run in the order they were added. */
internal class EventLoop {
    private class Event(val time: Long, val sequence: Long, val run: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy(Event::time, Event::sequence))
    private var nextSequence = 0L

    /** Current virtual time in milliseconds. */
    var milliseconds = 0L
        private set

    val now: Instant get() = instantAt(milliseconds)

    /** Schedules [run] at [time]. */
    fun at(time: Long, run: () -> Unit) {
        events += Event(time, nextSequence++, run)
    }

    /** Schedules [run] after [delay] milliseconds. */
    fun after(delay: Long, run: () -> Unit): Unit = at(milliseconds + delay, run)

    /** Calls [run] at [first] and then every [interval] milliseconds. */
    fun every(first: Long, interval: Long, run: () -> Unit) {
        at(first) {
            run()
            every(milliseconds + interval, interval, run)
        }
    }

    /** Runs all events up to and including the time [end]. */
    fun runUntil(end: Long) {
        while (true) {
            val event = events.peek()?.takeIf { it.time <= end } ?: break
            events.remove()
            milliseconds = event.time
            event.run()
        }
        milliseconds = end
    }
}

/** Converts a virtual time. Time 0 is one day after the Unix epoch, so that times before the start are valid. */
internal fun instantAt(milliseconds: Long): Instant =
    Instant.fromEpochMilliseconds(milliseconds + 86_400_000)
