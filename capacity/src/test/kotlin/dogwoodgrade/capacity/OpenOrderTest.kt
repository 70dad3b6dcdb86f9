package dogwoodgrade.capacity

import dogwoodgrade.scheduling.ExecutorIdentifier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against runs that are started again elsewhere although their executor goes on. */
class OpenOrderTest {
    private val orderedAt = Instant.fromEpochMilliseconds(1_000_000)
    private val executor = ExecutorIdentifier("x")
    private val confirmed = OpenOrder("m", orderedAt, confirmed = true)
    private val unconfirmed = confirmed.copy(confirmed = false)
    private val listed = Machine("m", "pool", MachineState.Up, "zone", executor)

    private fun settlement(order: OpenOrder, machine: Machine?, after: Int): OrderSettlement =
        settlementOf(order, executor, machine, orderedAt + after.milliseconds)

    @Test
    fun `an executor has ended if its machine shows another one, none, or the execution of the order`() {
        val moving = listed.copy(state = MachineState.Moving)
        val maintained = listed.copy(state = MachineState.Maintenance, executor = null)
        val replaced = listed.copy(executor = ExecutorIdentifier("y"))
        for (order in listOf(confirmed, unconfirmed)) {
            for (machine in listOf(moving, maintained, replaced, listed.copy(executor = null))) {
                assertEquals(OrderSettlement.Ended, settlement(order, machine, 300), "$order $machine")
            }
        }
    }

    /** Guards against a list of several pages that lacks a machine, and a machine that is shown as down. */
    @Test
    fun `an executor has not ended because its machine is missing from the list or down`() {
        for (machine in listOf(null, listed.copy(state = MachineState.Down))) {
            assertEquals(OrderSettlement.Open, settlement(unconfirmed, machine, 20_000), "$machine")
            assertEquals(OrderSettlement.Open, settlement(confirmed, machine, 300), "$machine")
        }
    }

    @Test
    fun `an order that was executed under an earlier owner does not end the executor that runs now`() {
        assertEquals(OrderSettlement.Open, settlement(confirmed, listed, 300))
        val later = orderedAt + 1.seconds
        assertEquals(OrderSettlement.WithoutEffect, settlementOf(confirmed, executor, listed, later))
    }

    @Test
    fun `an order without an answer stays open as long as the executor is listed`() {
        assertEquals(OrderSettlement.Open, settlement(unconfirmed, listed, 20_000))
    }
}
