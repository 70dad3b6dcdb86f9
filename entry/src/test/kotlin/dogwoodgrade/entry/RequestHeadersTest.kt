package dogwoodgrade.entry

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.valueOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class RequestHeadersTest {
    private fun parse(method: String = "POST", path: String = "/price/x", vararg headers: Pair<String, String>) =
        parseRequest(RawRequest(method, path, "a=1", headers.toList(), ByteArray(0)))

    @Test
    fun `the key and the headers that the entry sets are not forwarded`() {
        val request =
            assertNotNull(
                parse(
                    headers =
                        arrayOf(
                            "authorization" to "Bearer k",
                            "dogwoodgrade-team" to "forged",
                            "dogwoodgrade-lease-until" to "9",
                            "connection" to "close",
                            "accept" to "text/plain",
                        ),
                ).valueOrNull(),
            )
        assertEquals(listOf("accept" to "text/plain"), request.headers)
        assertFalse("Bearer" in request.toString())
    }

    @Test
    fun `a request is idempotent by its method or by an idempotency key`() {
        val cases =
            listOf(
                parse("GET") to true,
                parse("POST") to false,
                parse("PATCH") to false,
                parse("POST", headers = arrayOf("idempotency-key" to "k")) to true,
            )
        for ((request, expected) in cases) assertEquals(expected, request.valueOrNull()?.idempotent)
    }

    @Test
    fun `the class and the deadline are parsed`() {
        val request =
            parse(
                headers = arrayOf("dogwoodgrade-class" to "urgent", "dogwoodgrade-deadline-milliseconds" to "1500"),
            ).valueOrNull()
        assertEquals(RequestClass.Urgent, request?.requestClass)
        assertEquals(1500.milliseconds, request?.timeout)
        assertEquals("/price/x?a=1", request?.target)
    }

    @Test
    fun `malformed requests are refused`() {
        val cases: List<Outcome<CallerRequest>> =
            listOf(
                parse(path = "/"),
                parse(path = "/Bad Name/x"),
                parse(headers = arrayOf("dogwoodgrade-class" to "soon")),
                parse(headers = arrayOf("dogwoodgrade-deadline-milliseconds" to "-1")),
                parse(headers = arrayOf("dogwoodgrade-deadline-milliseconds" to "soon")),
                parse(headers = arrayOf("x-request-id" to "a b")),
            )
        assertTrue(cases.all { it.failureOrNull()?.code == ResultCode.MalformedRequest })
    }
}
