package dogwoodgrade.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/**
 * A fixed number of coroutine workers that receive events from one channel and suspend while it is empty.
 *
 * The channel is unlimited, but its length is bounded: each request of the bounded [RequestTable] has at most one
 * pending event, and [maximumWaitingArrivals] limits the arrivals.
 */
internal class WorkerPool(
    private val workerCount: Int,
    private val maximumWaitingArrivals: Int,
) {
    private val events = Channel<EntryEvent>(Channel.UNLIMITED)
    private val waitingArrivals = java.util.concurrent.atomic
        .AtomicInteger()

    /** Posts an event without blocking. */
    fun post(event: EntryEvent) {
        events.trySend(event)
    }

    /** Posts an arrival, or returns `false` if the workers are too far behind. */
    fun postArrival(event: EntryEvent.Arrived): Boolean {
        if (waitingArrivals.incrementAndGet() > maximumWaitingArrivals) {
            waitingArrivals.decrementAndGet()
            return false
        }
        return events.trySend(event).isSuccess
    }

    /** Starts the workers; they run until [stop]. */
    fun start(scope: CoroutineScope, handle: (EntryEvent) -> Unit): List<Job> =
        List(workerCount) {
            scope.launch {
                for (event in events) {
                    if (event is EntryEvent.Arrived) waitingArrivals.decrementAndGet()
                    handleSafely(event, handle)
                }
            }
        }

    /** Closes the channel; the workers end after they have handled the pending events. */
    fun stop() {
        events.close()
    }

    /** Logs exceptions, so that a failure in one event does not end the worker. */
    private fun handleSafely(event: EntryEvent, handle: (EntryEvent) -> Unit) {
        try {
            handle(event)
        } catch (failure: RuntimeException) {
            logger.error(failure) { "entry: event ${event::class.simpleName} failed" }
        }
    }
}
