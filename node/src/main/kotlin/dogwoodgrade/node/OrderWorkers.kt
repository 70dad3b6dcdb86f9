package dogwoodgrade.node

import dogwoodgrade.platform.ExecutorClient
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.Order
import dogwoodgrade.scheduling.StartOutcome
import dogwoodgrade.scheduling.StartRejection
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/** Largest number of orders that wait for a worker; a plan contains at most some hundred. */
private const val ORDER_QUEUE_CAPACITY = 4096

/** Number of workers that send orders; each waits for one executor at a time. */
private const val WORKER_COUNT = 48

/** Pool of workers that send orders to executors and record the outcomes in the schedule. */
internal class OrderWorkers(
    private val client: ExecutorClient,
    private val fleet: FleetTable,
    private val epoch: Long,
    private val clock: NodeClock,
    private val metrics: NodeMetrics,
    private val onChange: (ExecutorIdentifier) -> Unit,
) {
    private val queue = Channel<Pair<ExecutorReport, Order>>(ORDER_QUEUE_CAPACITY)

    /** Starts the workers; they run until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        repeat(WORKER_COUNT) {
            scope.launch {
                for ((executor, order) in queue) send(executor, order)
            }
        }
    }

    /** Queues an order for a worker; if the queue is full, the order counts as not sent. */
    fun submit(executor: ExecutorReport, order: Order) {
        if (queue.trySend(executor to order).isSuccess) return
        logger.warn { "orders: queue is full, dropped task=${order.task.text}" }
        if (order is Order.Start) recordOutcome(order, StartOutcome.Rejected(StartRejection.NotSent))
    }

    private suspend fun send(executor: ExecutorReport, order: Order) {
        when (order) {
            is Order.Start -> recordOutcome(order, client.start(executor, order, epoch))
            is Order.Stop -> {
                val answered = client.stop(executor, order, epoch)
                metrics.ordered("stop", if (answered) "done" else "failed")
                logger.info {
                    "orders: stop task=${order.task.text} run=${order.run} executor=${order.executor} " +
                        "reason=${order.reason} answered=$answered"
                }
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
                StartOutcome.Started -> "started"
                is StartOutcome.Rejected -> outcome.reason.name
                StartOutcome.Unknown -> "unknown"
            }
        metrics.ordered("start", text)
        logger.info {
            "orders: start task=${order.task.text} run=${order.run} executor=${order.executor} outcome=$text"
        }
        fleet.withSchedule { it.processStartOutcome(order, outcome, clock.now()) }
        onChange(order.executor)
    }
}
