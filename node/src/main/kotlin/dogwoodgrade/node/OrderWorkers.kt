package dogwoodgrade.node

import dogwoodgrade.platform.ExecutorClient
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.Order
import dogwoodgrade.scheduling.StartOutcome
import dogwoodgrade.scheduling.StartRejection
import dogwoodgrade.scheduling.StopOutcome
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Largest number of orders that wait for a worker; the scheduler bounds starts, stops of ended jobs come at once. */
private const val ORDER_QUEUE_CAPACITY = 4096

/**
 * Number of workers that send orders. Each waits for one executor at a time, up to the timeout of an order if that one
 * is cut off, so that there are several for each executor of a zone.
 */
private const val WORKER_COUNT = 192

/** Time after which a queued start is not sent any more, because it would arrive after its deadline. */
private val LONGEST_START_WAIT: Duration = 900.milliseconds

/** Pool of workers that send orders to executors and record the outcomes in the schedule. */
internal class OrderWorkers(
    private val client: ExecutorClient,
    private val fleet: FleetTable,
    private val epoch: Long,
    private val clock: NodeClock,
    private val metrics: NodeMetrics,
    private val onChange: (ExecutorIdentifier) -> Unit,
) {
    private val queue = Channel<QueuedOrder>(ORDER_QUEUE_CAPACITY)
    private val waitingStarts = AtomicInteger()

    /** Number of starts that wait for a worker. */
    val unsentStarts: Int get() = waitingStarts.get()

    /** Starts the workers; they run until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        repeat(WORKER_COUNT) {
            scope.launch {
                for (queued in queue) {
                    if (queued.order is Order.Start) waitingStarts.decrementAndGet()
                    send(queued)
                }
            }
        }
    }

    /** Queues an order for a worker; if the queue is full, the order counts as not sent. */
    fun submit(executor: ExecutorReport, order: Order) {
        val queued = QueuedOrder(executor, order, clock.now())
        if (order is Order.Start) waitingStarts.incrementAndGet()
        if (queue.trySend(queued).isSuccess) return
        if (order is Order.Start) waitingStarts.decrementAndGet()
        logger.warn { "orders: queue is full, dropped task=${order.task.text}" }
        if (order is Order.Start) recordOutcome(order, StartOutcome.Rejected(StartRejection.NotSent))
    }

    private suspend fun send(queued: QueuedOrder) {
        val executor = queued.executor
        when (val order = queued.order) {
            is Order.Start -> {
                val expired = clock.now() - queued.queuedAt > LONGEST_START_WAIT
                val outcome =
                    if (expired) {
                        StartOutcome.Rejected(StartRejection.NotSent)
                    } else {
                        client.start(executor, order, epoch)
                    }
                recordOutcome(order, outcome)
            }
            is Order.Stop -> {
                val outcome = client.stop(executor, order, epoch)
                val accepted = outcome is StopOutcome.Accepted
                metrics.ordered("stop", if (accepted) "done" else "failed")
                logger.info {
                    "orders: stop task=${order.task.text} run=${order.run} executor=${order.executor} " +
                        "reason=${order.reason} answered=$accepted"
                }
                fleet.withSchedule { it.processStopOutcome(order, executor, outcome, clock.now()) }
                onChange(order.executor)
            }
            is Order.Pace -> {
                val answered = client.pace(executor, order, epoch)
                metrics.ordered("pace", if (answered) "done" else "failed")
                logger.info { "orders: pace task=${order.task.text} percent=${order.percent} answered=$answered" }
            }
        }
    }

    private fun recordOutcome(order: Order.Start, outcome: StartOutcome) {
        val text =
            when (outcome) {
                is StartOutcome.Started -> "started"
                is StartOutcome.Rejected -> outcome.reason.name
                StartOutcome.Unknown -> "unknown"
            }
        metrics.ordered("start", text)
        logger.info {
            "orders: start task=${order.task.text} run=${order.run} executor=${order.executor} outcome=$text " +
                "incarnation=${outcome.incarnation}"
        }
        fleet.withSchedule { it.processStartOutcome(order, outcome, clock.now()) }
        onChange(order.executor)
    }
}

/** An order with the executor that it goes to, and the time at which it was queued. */
private data class QueuedOrder(
    val executor: ExecutorReport,
    val order: Order,
    val queuedAt: Instant,
)
