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

/** What the HTTP client concludes when the log service breaks its protocol or the connection. */
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

    /** One row: what the service does with a request, and what an append and a read may conclude from it. */
    private class Row(
        val fault: String,
        val append: KClass<out AppendResult>,
        val read: KClass<out ReadResult>,
        val act: (NetSocket) -> Unit,
    )

    private fun answer(status: Int, body: String) = "HTTP/1.1 $status X\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun row(
        fault: String,
        status: Int,
        body: String,
        append: KClass<out AppendResult>,
        read: KClass<out ReadResult>,
    ) = Row(fault, append, read) { it.write(answer(status, body)) }

    private fun serve(act: (NetSocket) -> Unit): Int =
        vertx
            .createNetServer()
            .connectHandler { socket -> socket.handler { act(socket) } }
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get()
            .actualPort()

    private fun assertRow(row: Row, port: Int) =
        runBlocking {
            withTimeout(60.seconds) {
                val log = httpLogService(client, "127.0.0.1", port)
                val appended = log.append(StreamName.Control, byteArrayOf(1))
                assertEquals(row.append, appended::class, "${row.fault}: $appended")
                val read = log.read(StreamName.Control, Offset.Zero, 10, Duration.ZERO)
                assertEquals(row.read, read::class, "${row.fault}: $read")
            }
        }

    @Test
    fun `only proof that nothing was appended gives a refusal and only the protocol gives records`() {
        val unknown = AppendResult.Unknown::class
        val refused = AppendResult.Refused::class
        val unreachable = ReadResult.Unreachable::class
        val records = """{"first":0,"next":1,"records":[{"offset":0,"data":"AQ=="}]}"""
        val rows =
            listOf(
                Row("closes after the request", unknown, unreachable) { it.close() },
                Row("cuts its answer", unknown, unreachable) { socket ->
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{").onComplete { socket.close() }
                },
                Row("never answers", unknown, unreachable) {},
                Row("is no HTTP server", unknown, unreachable) { it.write("garbage\r\n\r\n") },
                row("answers with no JSON", 200, "garbage", unknown, unreachable),
                row("answers with other JSON", 200, "[]", unknown, unreachable),
                row(
                    "answers with a negative offset",
                    200,
                    """{"offset":-1,"next":-1,"records":[]}""",
                    unknown,
                    unreachable,
                ),
                row("limits the rate", 429, "", refused, unreachable),
                row("is in an outage", 503, "", refused, unreachable),
                row("fails", 500, "", unknown, unreachable),
                row("has dropped records", 410, """{"first":7}""", unknown, ReadResult.Dropped::class),
                row("answers 410 with garbage", 410, "x", unknown, unreachable),
                row("confirms an append", 200, """{"offset":0}""", AppendResult.Appended::class, unreachable),
                row("has records", 200, records, unknown, ReadResult.Records::class),
            )
        for (row in rows) assertRow(row, serve(row.act))
        val closed = ServerSocket(0).use { it.localPort }
        assertRow(Row("refuses connections", refused, unreachable) {}, closed)
    }
}
