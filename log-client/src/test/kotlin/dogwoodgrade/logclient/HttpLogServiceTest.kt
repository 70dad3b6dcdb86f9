package dogwoodgrade.logclient

import dogwoodgrade.model.Offset
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import kotlin.reflect.KClass
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests the results of the HTTP client when the log service violates its protocol or breaks the connection. */
class HttpLogServiceTest {
    private val vertx = Vertx.vertx()
    private val client = WebClient.create(vertx)

    @AfterTest
    fun stop() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .get()
    }

    /** What the service does with a request, and the expected results of an append and a read. */
    private class FaultCase(
        val fault: String,
        val append: KClass<out AppendResult>,
        val read: KClass<out ReadResult>,
        val respond: (NetSocket) -> Unit,
    )

    private fun answer(status: Int, body: String) = "HTTP/1.1 $status X\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun faultCase(
        fault: String,
        status: Int,
        body: String,
        append: KClass<out AppendResult>,
        read: KClass<out ReadResult>,
    ) = FaultCase(fault, append, read) { it.write(answer(status, body)) }

    private fun serve(respond: (NetSocket) -> Unit): Int =
        vertx
            .createNetServer()
            .connectHandler { socket -> socket.handler { respond(socket) } }
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get()
            .actualPort()

    private fun assertOutcomes(faultCase: FaultCase, port: Int) =
        runBlocking {
            withTimeout(60.seconds) {
                val log = httpLogService(client, "127.0.0.1", port)
                val appended = log.append(StreamName.Control, byteArrayOf(1))
                assertEquals(faultCase.append, appended::class, "${faultCase.fault}: $appended")
                val read = log.read(StreamName.Control, Offset.Zero, 10, Duration.ZERO)
                assertEquals(faultCase.read, read::class, "${faultCase.fault}: $read")
            }
        }

    @Test
    fun `an append is refused only if nothing was appended and a read returns records only from a valid response`() {
        val unknown = AppendResult.Unknown::class
        val refused = AppendResult.Refused::class
        val unreachable = ReadResult.Unreachable::class
        val records = """{"first":0,"next":1,"records":[{"offset":0,"data":"AQ=="}]}"""
        val faultCases =
            listOf(
                FaultCase("closes after the request", unknown, unreachable) { it.close() },
                FaultCase("truncates its answer", unknown, unreachable) { socket ->
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{").onComplete { socket.close() }
                },
                FaultCase("never answers", unknown, unreachable) {},
                FaultCase("is no HTTP server", unknown, unreachable) { it.write("garbage\r\n\r\n") },
                faultCase("answers with no JSON", 200, "garbage", unknown, unreachable),
                faultCase("answers with other JSON", 200, "[]", unknown, unreachable),
                faultCase(
                    "answers with a negative offset",
                    200,
                    """{"offset":-1,"next":-1,"records":[]}""",
                    unknown,
                    unreachable,
                ),
                faultCase("limits the rate", 429, "", refused, unreachable),
                faultCase("is in an outage", 503, "", refused, unreachable),
                faultCase("fails", 500, "", unknown, unreachable),
                faultCase("has dropped records", 410, """{"first":7}""", unknown, ReadResult.Dropped::class),
                faultCase("answers 410 with garbage", 410, "x", unknown, unreachable),
                faultCase("confirms an append", 200, """{"offset":0}""", AppendResult.Appended::class, unreachable),
                faultCase("has records", 200, records, unknown, ReadResult.Records::class),
            )
        for (faultCase in faultCases) assertOutcomes(faultCase, serve(faultCase.respond))
        val closed = ServerSocket(0).use { it.localPort }
        assertOutcomes(FaultCase("refuses connections", refused, unreachable) {}, closed)
    }
}
