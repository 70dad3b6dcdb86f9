package dogwoodgrade.limits

import dogwoodgrade.model.Offset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PermitTableTest {
    private val a = entry("a")
    private val table = PermitTable(a)
    private val joined = PermitLedger().fold({ it.setLimit(RED, 4) }, { it.join(a) })
    private val start = Instant.fromEpochSeconds(0)

    private fun plan(second: Int, demand: Int) = table.planReport(
        start + second.seconds,
        setOf(a),
        mapOf(RED to demand),
    )

    @Test
    fun `an unconfirmed report is repeated unchanged and its permits are not used before the ledger shows them`() {
        table.accept(Offset(2), joined)
        val first = checkNotNull(plan(0, demand = 4))
        table.recordAppend(first.sequence, AppendStatus.Unknown)
        assertFalse(table.tryAcquire(RED))
        assertEquals(first, plan(1, demand = 1))
        table.recordAppend(first.sequence, AppendStatus.NotAppended)
        assertEquals(first, plan(2, demand = 0), "the first attempt may be in the log")
        table.accept(Offset(3), joined.fold({ it.applyReport(first) }))
        assertEquals(4, (1..5).count { table.tryAcquire(RED) })
    }

    @Test
    fun `a report that was certainly not appended is withdrawn, and one that was appended is not repeated`() {
        table.accept(Offset(2), joined)
        table.recordAppend(checkNotNull(plan(0, demand = 4)).sequence, AppendStatus.NotAppended)
        val second = checkNotNull(plan(1, demand = 2))
        assertEquals(2, second.changes.getValue(RED).take)
        table.recordAppend(second.sequence, AppendStatus.Appended)
        assertNull(plan(2, demand = 4))
    }

    @Test
    fun `no task starts above a lowered limit although the permits are still held`() {
        val holding = joined.fold({ it.applyReport(report(a, 1, take = 4)) })
        table.accept(Offset(3), holding)
        assertTrue(table.tryAcquire(RED) && table.tryAcquire(RED))
        table.accept(Offset(4), holding.fold({ it.setLimit(RED, 2) }))
        assertFalse(table.tryAcquire(RED))
    }

    @Test
    fun `shutdown releases idle permits, takes none and ends when the ledger shows no permits of the entry`() {
        val holding = joined.fold({ it.applyReport(report(a, 1, take = 3, wanted = 3)) })
        table.accept(Offset(3), holding)
        assertTrue(table.tryAcquire(RED))
        table.beginShutdown()
        val first = checkNotNull(plan(0, demand = 1))
        assertEquals(PermitChange(release = 2, take = 0, wanted = 1), first.changes[RED])
        assertFalse(table.tryAcquire(RED))
        table.release(RED)
        val second = holding.fold({ it.applyReport(first) })
        table.accept(Offset(4), second)
        assertFalse(table.allPermitsReturned())
        table.accept(Offset(5), second.fold({ it.applyReport(checkNotNull(plan(1, demand = 0))) }))
        assertTrue(table.allPermitsReturned())
    }

    @Test
    fun `an older ledger, an ended entry and a second release give no permits`() {
        val holding = joined.fold({ it.applyReport(report(a, 1, take = 1)) })
        table.accept(Offset(4), holding.fold({ it.end(a) }))
        assertFalse(table.accept(Offset(3), holding))
        assertFalse(table.tryAcquire(RED))
        assertNull(plan(0, demand = 1))
        assertFailsWith<IllegalStateException> { table.release(RED) }
    }
}
