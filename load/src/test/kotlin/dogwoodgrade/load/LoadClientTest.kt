package dogwoodgrade.load

import io.vertx.core.Vertx
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadClientTest {
    private val vertx = Vertx.vertx()

    @AfterTest
    fun close() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    private fun listen(status: Int, body: String, delayMilliseconds: Long): Int =
        vertx
            .createHttpServer()
            .requestHandler { request ->
                val respond = { request.response().setStatusCode(status).end(body) }
                if (delayMilliseconds > 0) vertx.setTimer(delayMilliseconds) { respond() } else respond()
            }.listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join()
            .actualPort()

    @Test
    fun `a closed loop ends at its bound on the number of requests`() {
        val client = LoadClient(vertx, LoadTarget(listen(200, "ok", 0), "/"), 3)
        val result = client.closedLoop(LoadBounds(50, 60.seconds))
        assertEquals(mapOf("200" to 50L), result.outcomes)
    }

    /** With one connection and 50 ms per request, the tenth request is sent long after its intended time. */
    @Test
    fun `a stall of the server that delays the sends is not left out of the latencies`() {
        val client = LoadClient(vertx, LoadTarget(listen(200, "ok", 50), "/"), 1)
        val result = client.openLoop(1_000, LoadBounds(10, 60.seconds))
        assertEquals(10, result.succeeded)
        assertTrue(result.latency(100.0) >= 450.milliseconds, "$result")
    }

    @Test
    fun `refusals with different result codes are not counted together or as successes`() {
        val client = LoadClient(vertx, LoadTarget(listen(503, """{"code":2001}""", 0), "/"), 1)
        val result = client.closedLoop(LoadBounds(5, 60.seconds))
        assertEquals(mapOf("503/2001" to 5L), result.outcomes)
        assertEquals(0, result.succeeded)
    }
}
