package dogwoodgrade.capacity

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against runs that are started again elsewhere although their executor goes on. */
class OpenOrderTest {
    private val orderedAt = Instant.fromEpochMilliseconds(1_000_000)
    private val confirmed = OpenOrder(orderedAt, confirmed = true)

    @Test
    fun `an executor that is no longer listed has ended`() {
        assertEquals(OrderSettlement.Ended, settlementOf(confirmed, false, orderedAt + 300.milliseconds))
        val unconfirmed = confirmed.copy(confirmed = false)
        assertEquals(OrderSettlement.Ended, settlementOf(unconfirmed, false, orderedAt + 300.milliseconds))
    }

    @Test
    fun `an order that was executed under an earlier owner does not end the executor that runs now`() {
        assertEquals(OrderSettlement.Open, settlementOf(confirmed, true, orderedAt + 300.milliseconds))
        assertEquals(OrderSettlement.WithoutEffect, settlementOf(confirmed, true, orderedAt + 1.seconds))
    }

    @Test
    fun `an order without an answer stays open as long as the executor is listed`() {
        val unconfirmed = confirmed.copy(confirmed = false)
        assertEquals(OrderSettlement.Open, settlementOf(unconfirmed, true, orderedAt + 20.seconds))
    }
}
