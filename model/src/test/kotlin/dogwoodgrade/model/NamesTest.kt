package dogwoodgrade.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

class NamesTest {
    @Test
    fun `names outside the grammar are refused`() {
        for (text in listOf("", "-a", "a-", "A", "a_b", "a b", "a".repeat(MAX_NAME_LENGTH + 1), "é")) {
            assertNull(TeamName.parseOrNull(text), text)
            assertFailsWith<IllegalArgumentException> { TeamName(text) }
        }
    }

    @Test
    fun `a name of the largest length is accepted`() {
        val text = "a".repeat(MAX_NAME_LENGTH)
        assertEquals(text, TeamName.parseOrNull(text)?.text)
    }

    @Test
    fun `a request identifier with a line break is refused so that it cannot forge a header`() {
        assertNull(RequestIdentifier.parseOrNull("a\r\nb"))
    }

    @Test
    fun `the class of a request is parsed ignoring case`() {
        assertEquals(RequestClass.Urgent, RequestClass.parseOrNull("URGENT"))
        assertNull(RequestClass.parseOrNull("soon"))
    }

    @Test
    fun `a key digest is the SHA-256 digest and its text shows only the first eight characters`() {
        val digest = KeyDigest.of("abc")
        assertEquals("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", digest.hexadecimal)
        assertEquals("ba7816bf", digest.toString())
    }
}
