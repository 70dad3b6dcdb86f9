package dogwoodgrade.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EntryIdentityTest {
    @Test
    fun `formatted identity is parsed back`() {
        val identity = EntryIdentity(EntryName("entry-a1"), 1_700_000_000_123)
        assertEquals(identity, EntryIdentity.parseOrNull(identity.toString()))
    }

    @Test
    fun `malformed identities are refused`() {
        for (text in listOf("", "/", "a/", "/1", "a/0", "a/-1", "A/1", "a/1x", "a")) {
            assertNull(EntryIdentity.parseOrNull(text), text)
        }
    }

    @Test
    fun `a later run of the same entry is greater`() {
        assertTrue(EntryIdentity(EntryName("a"), 2) > EntryIdentity(EntryName("a"), 1))
    }
}
