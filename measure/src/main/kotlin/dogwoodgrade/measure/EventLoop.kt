package dogwoodgrade.measure

import java.util.PriorityQueue
import kotlin.time.Instant

/** Events in virtual time, in milliseconds from 0. Those at the same time run in the order in which they were added. */
internal class EventLoop {
    private class Event(val time: Long, val number: Long, val run: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy(Event::time, Event::number))
    private var added = 0L

    /** Current virtual time in milliseconds. */
    var milliseconds = 0L
        private set

    val now: Instant get() = instantAt(milliseconds)

    fun at(time: Long, run: () -> Unit) {
        events += Event(time, added++, run)
    }

    fun after(delay: Long, run: () -> Unit): Unit = at(milliseconds + delay, run)

    /** Calls [run] at [first] and then every [interval] milliseconds. */
    fun every(first: Long, interval: Long, run: () -> Unit) {
        at(first) {
            run()
            every(milliseconds + interval, interval, run)
        }
    }

    /** Runs the events up to the time [end]. */
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

/** Virtual time 0 is one day after the epoch, so that times before the start are valid. */
internal fun instantAt(milliseconds: Long): Instant =
    Instant.fromEpochMilliseconds(milliseconds + 86_400_000)
