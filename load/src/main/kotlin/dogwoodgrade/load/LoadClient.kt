package dogwoodgrade.load

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

private const val NANOSECONDS_PER_SECOND = 1_000_000_000L

/** Time to wait for outstanding responses after the last request was sent, and for the client to close. */
private const val RESPONSE_TIMEOUT_SECONDS = 15L

/** Target of the requests of a run, on the loopback address. */
internal data class LoadTarget(val port: Int, val path: String, val headers: Map<String, String> = emptyMap())

/** Bounds of a run, which stops sending when either is reached. */
internal data class LoadBounds(val requests: Long, val time: Duration)

/**
 * Sends HTTP/1.1 requests from one event loop, so that its state needs no lock.
 *
 * @property connections largest number of connections
 */
internal class LoadClient(private val vertx: Vertx, private val target: LoadTarget, private val connections: Int) {
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions().setDefaultHost("127.0.0.1").setDefaultPort(target.port),
            PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(-1),
        )
    private val options =
        RequestOptions()
            .setMethod(HttpMethod.GET)
            .setURI(target.path)
            .also { options -> target.headers.forEach { (name, value) -> options.addHeader(name, value) } }

    /** Sends the next request on each connection when its previous one has ended. Latency is measured from the send. */
    fun closedLoop(bounds: LoadBounds): LoadResult = run { Run(bounds).also { it.startClosed() } }

    /**
     * Sends [rate] requests per second, however slow the responses are. Latency is measured from the intended send
     * time, so that a stall counts for every request it delays (no coordinated omission). It includes the resolution
     * of the event loop's timer, 1 ms.
     */
    fun openLoop(rate: Int, bounds: LoadBounds): LoadResult = run { Run(bounds).also { it.startOpen(rate) } }

    /** Closes the connections. */
    fun close() {
        client
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun run(start: () -> Run): LoadResult {
        val done = CompletableFuture<LoadResult>()
        vertx.runOnContext { start().whenDone { done.complete(it) } }
        return done.get()
    }

    private inner class Run(private val bounds: LoadBounds) {
        private val result = LoadResult()
        private val begin = System.nanoTime()
        private val end = begin + bounds.time.inWholeNanoseconds
        private var sent = 0L
        private var inFlight = 0
        private var sending = true
        private var listener: (LoadResult) -> Unit = {}

        fun whenDone(action: (LoadResult) -> Unit) {
            listener = action
        }

        fun startClosed() {
            repeat(connections) { sendNext() }
        }

        private fun sendNext() {
            if (isOver()) return endSending()
            send(System.nanoTime()) { sendNext() }
        }

        fun startOpen(rate: Int) {
            vertx.setPeriodic(1) { timer ->
                while (!isOver() && dueTime(rate) <= System.nanoTime()) send(dueTime(rate)) { finishIfDone() }
                if (isOver()) {
                    vertx.cancelTimer(timer)
                    endSending()
                }
            }
        }

        private fun dueTime(rate: Int): Long = begin + sent * NANOSECONDS_PER_SECOND / rate

        private fun isOver(): Boolean = sent >= bounds.requests || System.nanoTime() >= end

        private fun send(from: Long, onDone: () -> Unit) {
            sent++
            inFlight++
            exchange().onComplete { outcome ->
                inFlight--
                when {
                    outcome.failed() -> result.count("broken")
                    outcome.result() == "200" -> result.success(System.nanoTime() - from)
                    else -> result.count(outcome.result())
                }
                onDone()
            }
        }

        private fun exchange(): Future<String> =
            client
                .request(options)
                .compose { it.send() }
                .compose { response -> response.body().map { outcomeOf(response.statusCode(), it.toString()) } }

        private fun endSending() {
            if (sending) {
                sending = false
                result.elapsed = (System.nanoTime() - begin).nanoseconds
                vertx.setTimer(RESPONSE_TIMEOUT_SECONDS * 1000) { finish() }
            }
            finishIfDone()
        }

        private fun finishIfDone() {
            if (!sending && inFlight == 0) finish()
        }

        private fun finish() {
            if (inFlight > 0) result.count("unanswered", inFlight.toLong())
            listener(result)
        }
    }
}
