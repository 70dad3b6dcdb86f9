package dogwoodgrade.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/**
 * A fixed number of coroutine workers that take events from one channel and suspend while there are none.
 *
 * The channel takes every event: each request of the bounded [RequestTable] has at most one event under way, and
 * arrivals are bounded by [arrivals].
 */
internal class WorkerPool(
    private val workers: Int,
    private val arrivals: Int,
) {
    private val events = Channel<EntryEvent>(Channel.UNLIMITED)
    private val waitingArrivals = java.util.concurrent.atomic
        .AtomicInteger()

    /** Posts an event; never blocks. */
    fun post(event: EntryEvent) {
        events.trySend(event)
    }

    /** Posts an arrival, or returns `false` if the workers are too far behind. */
    fun postArrival(event: EntryEvent.Arrived): Boolean {
        if (waitingArrivals.incrementAndGet() > arrivals) {
            waitingArrivals.decrementAndGet()
            return false
        }
        return events.trySend(event).isSuccess
    }

    /** Starts the workers; they run until [stop]. */
    fun start(scope: CoroutineScope, handle: (EntryEvent) -> Unit): List<Job> =
        List(workers) {
            scope.launch {
                for (event in events) {
                    if (event is EntryEvent.Arrived) waitingArrivals.decrementAndGet()
                    handleSafely(event, handle)
                }
            }
        }

    /** Lets the workers end after the events that are waiting. */
    fun stop() {
        events.close()
    }

    /** A fault in one event must not take the worker away from all others. */
    private fun handleSafely(event: EntryEvent, handle: (EntryEvent) -> Unit) {
        try {
            handle(event)
        } catch (failure: RuntimeException) {
            logger.error(failure) { "entry: event ${event::class.simpleName} failed" }
        }
    }
}
