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

/** Time that unanswered requests are waited for after the last one was sent. */
private const val DRAIN_SECONDS = 15L

/** Where the requests of a run go; always a loopback address. */
internal data class LoadTarget(val port: Int, val path: String, val headers: Map<String, String> = emptyMap())

/** A run ends when either bound is reached. */
internal data class LoadBounds(val requests: Long, val time: Duration)

/**
 * Sends HTTP/1.1 requests from one event loop, so its own state needs no lock.
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

    /** Each connection sends its next request when its last one has ended. Latency is measured from the send. */
    fun closedLoop(bounds: LoadBounds): LoadResult = run { Run(bounds).also { it.startClosed() } }

    /**
     * Sends [rate] requests per second, however slow the answers are. Latency is measured from the time at which the
     * request should have been sent, so that a stall counts for all requests it delayed (no coordinated omission). The
     * event loop's timer has a resolution of 1 ms, which is part of the latency.
     */
    fun openLoop(rate: Int, bounds: LoadBounds): LoadResult = run { Run(bounds).also { it.startOpen(rate) } }

    /** Closes the connections. */
    fun close() {
        client
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .get(DRAIN_SECONDS, TimeUnit.SECONDS)
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
        private var underWay = 0
        private var sending = true
        private var listener: (LoadResult) -> Unit = {}

        fun whenDone(action: (LoadResult) -> Unit) {
            listener = action
        }

        fun startClosed() {
            repeat(connections) { next() }
        }

        private fun next() {
            if (isOver()) return endSending()
            send(System.nanoTime()) { next() }
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

        private fun send(from: Long, then: () -> Unit) {
            sent++
            underWay++
            exchange().onComplete { answer ->
                underWay--
                when {
                    answer.failed() -> result.count("broken")
                    answer.result() == "200" -> result.success(System.nanoTime() - from)
                    else -> result.count(answer.result())
                }
                then()
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
                vertx.setTimer(DRAIN_SECONDS * 1000) { finish() }
            }
            finishIfDone()
        }

        private fun finishIfDone() {
            if (!sending && underWay == 0) finish()
        }

        private fun finish() {
            if (underWay > 0) result.count("unanswered", underWay.toLong())
            listener(result)
        }
    }
}
