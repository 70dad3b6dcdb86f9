package dogwoodgrade.control

import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ControlTableTest {
    private val table =
        ControlTable({ data ->
            DecodedRecord(RecordIdentifier(data.decodeToString()), 1, Failure(ResultCode.MalformedRecord, "test"))
        })

    private fun records(range: LongRange) = range.map { RawRecord(Offset(it), "record-$it".encodeToByteArray()) }

    @Test
    fun `overlapping deliveries from two paths are folded once`() {
        assertEquals(3, table.fold(records(0L..2L)))
        assertEquals(2, table.fold(records(1L..4L)))
        assertEquals(Offset(5), table.state.offset)
    }

    @Test
    fun `folding stops before a gap`() {
        assertEquals(1, table.fold(records(0L..0L) + records(2L..3L)))
        assertEquals(Offset(1), table.state.offset)
    }

    @Test
    fun `an older snapshot never replaces the state`() {
        table.fold(records(0L..4L))
        assertFalse(table.install(ControlState.Empty.copy(offset = Offset(3))))
        assertFalse(table.install(ControlState.Empty.copy(offset = Offset(5))))
        assertTrue(table.install(ControlState.Empty.copy(offset = Offset(9))))
        assertNull(table.recordsFrom(Offset(4), 10, 1_000))
    }

    @Test
    fun `records for peers are bounded in number and bytes`() {
        table.fold(records(0L..9L))
        assertEquals(listOf(3L, 4L), assertNotNull(table.recordsFrom(Offset(3), 2, 1_000)).map { it.offset.value })
        assertEquals(1, assertNotNull(table.recordsFrom(Offset(3), 5, 1)).size)
        assertEquals(emptyList(), table.recordsFrom(Offset(10), 5, 1_000))
    }
}
