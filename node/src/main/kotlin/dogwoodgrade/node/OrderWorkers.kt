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

/** Orders that may wait for a worker; a plan gives at most some hundred. */
private const val WAITING_ORDERS = 4096

/** Workers that send orders; each waits for one executor at a time. */
private const val WORKERS = 48

/** A pool of workers that send orders to executors and record the outcome in the schedule. */
internal class OrderWorkers(
    private val client: ExecutorClient,
    private val fleet: FleetTable,
    private val epoch: Long,
    private val clock: NodeClock,
    private val metrics: NodeMetrics,
    private val onChange: (ExecutorIdentifier) -> Unit,
) {
    private val queue = Channel<Pair<ExecutorReport, Order>>(WAITING_ORDERS)

    /** Starts the workers; they run until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        repeat(WORKERS) {
            scope.launch {
                for ((executor, order) in queue) send(executor, order)
            }
        }
    }

    /** Hands over orders; one that finds no room counts as not sent. */
    fun submit(executor: ExecutorReport, order: Order) {
        if (queue.trySend(executor to order).isSuccess) return
        logger.warn { "orders: queue is full, dropped task=${order.task.text}" }
        if (order is Order.Start) record(order, StartOutcome.Rejected(StartRejection.NotSent))
    }

    private suspend fun send(executor: ExecutorReport, order: Order) {
        when (order) {
            is Order.Start -> record(order, client.start(executor, order, epoch))
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

    private fun record(order: Order.Start, outcome: StartOutcome) {
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
        fleet.withSchedule { it.startAnswered(order, outcome, clock.now()) }
        onChange(order.executor)
    }
}
