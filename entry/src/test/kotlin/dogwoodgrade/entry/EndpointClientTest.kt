package dogwoodgrade.entry

import dogwoodgrade.model.ResultCode
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.AttemptResult.Busy
import dogwoodgrade.routing.AttemptResult.Complete
import dogwoodgrade.routing.AttemptResult.ConnectionRefused
import dogwoodgrade.routing.AttemptResult.FailedBeforeHead
import dogwoodgrade.routing.AttemptResult.NotRun
import dogwoodgrade.routing.AttemptResult.NotSent
import dogwoodgrade.routing.AttemptResult.TimedOut
import dogwoodgrade.routing.AttemptResult.Truncated
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the HTTP client for endpoints against servers that violate the protocol in the ways that a table lists. */
class EndpointClientTest {
    private val vertx = Vertx.vertx()
    private val client = EndpointClient(vertx, 1, Clock.System::now)
    private val received = AtomicInteger()

    @AfterTest
    fun stop() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Starts a server that calls [script] with the number on the connection and the path of each request. */
    private fun serve(script: (socket: NetSocket, number: Int, path: String) -> Unit): Int =
        serveNumbered { socket, number, path, _ -> script(socket, number, path) }

    /** Like [serve], but also passes the header line that repeats the number of the attempt. */
    private fun serveNumbered(script: (socket: NetSocket, number: Int, path: String, line: String) -> Unit): Int {
        val server = vertx.createNetServer()
        server.connectHandler { socket ->
            var number = 0
            var text = ""
            socket.handler { part ->
                text += part
                while ("\r\n\r\n" in text) {
                    val path = text.substringAfter(' ').substringBefore(' ')
                    val line = Regex("(?i)dogwoodgrade-attempt: \\d+\r\n").find(text)?.value.orEmpty()
                    text = text.substringAfter("\r\n\r\n")
                    received.incrementAndGet()
                    script(socket, number++, path, line)
                }
            }
        }
        return server
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get()
            .actualPort()
    }

    private fun send(
        port: Int,
        identifier: String = "request-1",
        deadline: Duration = 10.seconds,
        lease: Duration = 20.seconds,
        mayStart: () -> Boolean = { true },
    ): Pair<RecordedReply, CompletableFuture<AttemptEnd>> {
        val caller = RecordedReply()
        val end = CompletableFuture<AttemptEnd>()
        val call = callOf(requestOf(identifier), caller.reply, deadline)
        client.send(call, reservationOf(port, lease), mayStart) { end.complete(it) }
        return caller to end
    }

    private fun CompletableFuture<AttemptEnd>.result(): AttemptResult = get(WAIT_SECONDS, TimeUnit.SECONDS).result

    private fun later(milliseconds: Long, action: () -> Unit) {
        vertx.setTimer(milliseconds) { action() }
    }

    /** A fault of an endpoint, with the expected result and the expected reply to the caller. */
    private class Row(
        val fault: String,
        val expected: AttemptResult,
        val body: String = "",
        val aborted: Boolean = false,
        val deadline: Duration = 10.seconds,
        val lease: Duration = 20.seconds,
        val refusal: ResultCode? = null,
        val act: (NetSocket) -> Unit,
    )

    @Test
    fun `a fault of an endpoint is never taken for a whole response or for a request that did not run`() {
        val cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
        val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        val rows =
            listOf(
                Row("closes after the request", FailedBeforeHead) { it.close() },
                Row("cuts its head", FailedBeforeHead) { socket -> closeAfter(socket, "HTTP/1.1 200 OK\r\nConte") },
                Row("cuts a body with a length", Truncated, "part", aborted = true) { closeAfter(it, cut) },
                Row("cuts a chunked body", Truncated, "part", aborted = true) { closeAfter(it, chunked) },
                Row("answers without an end", FailedBeforeHead) { closeAfter(it, "HTTP/1.1 200 OK\r\n\r\npart") },
                Row("answers garbage", FailedBeforeHead) { it.write("garbage\r\n\r\n") },
                Row("is full", Busy) { it.write(answer("", 503, "Dogwoodgrade-Executed: no\r\n")) },
                Row("is leaving", NotRun) { it.write(answer("", 409, "Dogwoodgrade-Executed: no\r\n")) },
                Row("cuts the body of a refusal", NotRun) { socket ->
                    closeAfter(socket, "HTTP/1.1 503 X\r\nDogwoodgrade-Executed: no\r\nContent-Length: 9\r\n\r\npart")
                },
                Row("hangs", TimedOut, "", false, 50.milliseconds, 300.milliseconds, ResultCode.OutcomeUnknown) {},
                Row("hangs in its body", TimedOut, "part", aborted = true, lease = 300.milliseconds) { it.write(cut) },
                Row(
                    "is late",
                    Complete(200),
                    "",
                    false,
                    50.milliseconds,
                    refusal = ResultCode.OutcomeUnknown,
                ) { socket ->
                    later(300) { socket.write(answer("late")) }
                },
            )
        for (row in rows) {
            val port = serve { socket, _, _ -> row.act(socket) }
            val (caller, end) = send(port, deadline = row.deadline, lease = row.lease)
            assertEquals(row.expected, end.result(), row.fault)
            assertEquals(row.body to row.aborted, caller.body to caller.isAborted, row.fault)
            assertEquals(row.refusal, caller.refusal?.code, row.fault)
            assertEquals(false, caller.isComplete, row.fault)
        }
    }

    @Test
    fun `a request whose connection is refused or that may not start any more is not sent`() {
        val closed = ServerSocket(0).use { it.localPort }
        assertEquals(ConnectionRefused, send(closed).second.result())
        val port = serve { socket, _, path -> socket.write(answer(path)) }
        assertEquals(NotSent, send(port, mayStart = { false }).second.result())
        assertEquals(0, received.get())
        assertEquals(Complete(200), send(port).second.result())
    }

    @Test
    fun `a response after the lease does not reach the next request`() {
        val port =
            serve {
                socket,
                _,
                path,
                ->
                if (path.endsWith("slow")) later(400) { socket.write(answer(path)) } else socket.write(answer(path))
            }
        assertEquals(TimedOut, send(port, "slow", lease = 200.milliseconds).second.result())
        val (caller, end) = send(port, "next")
        assertEquals(Complete(200), end.result())
        assertEquals("/price/next", caller.body)
    }

    @Test
    fun `a response that was sent twice never reaches another caller`() {
        for (gap in listOf(0L, 5L, 30L)) {
            for (numbered in listOf(false, true)) {
                for (status in listOf(
                    "200 OK",
                    "503 X\r\nDogwoodgrade-Executed: no",
                )) {
                    assertNotMixed(gap, numbered, status)
                }
            }
        }
    }

    private fun assertNotMixed(gap: Long, numbered: Boolean, status: String) {
        val caseDescription = "gap $gap, numbered $numbered, $status"
        val port =
            serveNumbered { socket, _, path, line ->
                val number = if (numbered) line else ""
                val extra = "HTTP/1.1 $status\r\n${number}Content-Length: 5\r\n\r\nextra"
                when {
                    path.endsWith("second") -> later(60) { socket.write(answer(path, headers = number)) }
                    path.endsWith("warm") -> socket.write(answer(path, headers = number))
                    gap == 0L -> socket.write(answer(path, headers = number) + extra)
                    else -> {
                        socket.write(answer(path, headers = number))
                        later(gap) { socket.write(extra) }
                    }
                }
            }
        send(port, "warm").second.result()
        val first = send(port, "first")
        val second = send(port, "second")
        assertEquals(Complete(200), first.second.result(), caseDescription)
        assertEquals("/price/first", first.first.body, caseDescription)
        val result = second.second.result()
        assertEquals(if (result == Complete(200)) "/price/second" else "", second.first.body, caseDescription)
        assertTrue(result == Complete(200) || (numbered && result == FailedBeforeHead), "$caseDescription: $result")
    }

    @Test
    fun `responses that two connections mix up reach nobody`() {
        val port = serve { socket, _, _ -> socket.write(answer("x", headers = "X-Request-Id: other\r\n")) }
        val (caller, end) = send(port)
        assertEquals(FailedBeforeHead to "", end.result() to caller.body)
    }

    @Test
    fun `an endpoint that numbers its responses gets several requests on one connection`() {
        val largest = AtomicInteger()
        val port =
            serveNumbered { socket, number, path, line ->
                largest.accumulateAndGet(number, ::maxOf)
                socket.write(answer(path, headers = line))
            }
        repeat(REPEATS) { assertEquals(Complete(200), send(port, "request-$it").second.result()) }
        assertTrue(largest.get() > 1, "requests per connection: ${largest.get() + 1}")
    }

    @Test
    fun `a request on a keep-alive connection that the endpoint closes is sent once and never reported as not run`() {
        val port =
            serveNumbered { socket, number, path, line ->
                if (number == 0) socket.write(answer(path, headers = line)) else socket.close()
            }
        val results = List(REPEATS) { send(port, "request-$it").second.result() }
        assertEquals(1, results.count { it == FailedBeforeHead }, "$results")
        assertEquals(REPEATS - 1, results.count { it == Complete(200) }, "$results")
        assertEquals(REPEATS, received.get())
    }

    @Test
    fun `a connection that the endpoint closes after a response does not lose the next request`() {
        val port = serveNumbered { socket, _, path, line -> closeAfter(socket, answer(path, headers = line)) }
        val results = List(REPEATS) { send(port, "request-$it").second.result() }
        val lost = results.count { it != Complete(200) }
        assertTrue(results.all { it == Complete(200) || it == FailedBeforeHead }, "$results")
        assertTrue(lost <= 1, "outcome unknown for $lost of $REPEATS requests")
    }

    private fun closeAfter(socket: NetSocket, text: String) {
        socket.write(text).onComplete { socket.close() }
    }

    private fun answer(body: String, status: Int = 200, headers: String = ""): String =
        "HTTP/1.1 $status X\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"

    private companion object {
        const val WAIT_SECONDS = 30L
        const val REPEATS = 40
    }
}
