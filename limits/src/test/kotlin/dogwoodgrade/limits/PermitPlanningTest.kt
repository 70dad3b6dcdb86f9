package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class PermitPlanningTest {
    private val a = entry("a")
    private val b = entry("b")
    private val now = Instant.fromEpochSeconds(1_000)

    private fun ledger(limit: Int, heldByA: HeldPermits, heldByB: HeldPermits) =
        PermitLedger(
            mapOf(
                RED to TeamPermits(limit, limit - heldByA.count - heldByB.count, mapOf(a to heldByA, b to heldByB)),
            ),
            mapOf(a to 1L, b to 1L),
        )

    private fun plan(local: LocalPermits, demand: Int, live: Set<EntryIdentity> = setOf(a, b), at: Instant = now) =
        planPermitReport(local, at, live, mapOf(RED to demand))

    private fun change(local: LocalPermits, demand: Int, live: Set<EntryIdentity> = setOf(a, b)) =
        plan(local, demand, live).report?.changes?.get(RED)

    @Test
    fun `allocations are max-min fair, complete and within the demand`() {
        val cases = listOf(
            Triple(10, listOf(20, 20), listOf(5, 5)),
            Triple(10, listOf(2, 20), listOf(2, 8)),
            Triple(10, listOf(0, 0, 30), listOf(0, 0, 10)),
            Triple(7, listOf(9, 9, 9), listOf(3, 2, 2)),
            Triple(9, listOf(1, 2, 3), listOf(1, 2, 3)),
            Triple(0, listOf(1), listOf(0)),
            Triple(4, emptyList(), emptyList()),
        )
        for ((capacity, demands, expected) in cases) assertEquals(expected, maxMinAllocation(capacity, demands))
        assertEquals(listOf(0, 1), maxMinAllocation(1, listOf(5, 5), first = 1))
    }

    @Test
    fun `demand goes before the floor by default, and the floor before demand in the floor-first rule`() {
        assertEquals(listOf(10, 0), demandFirstTargets(10, 2, listOf(20, 0), 0))
        assertEquals(listOf(6, 2), demandFirstTargets(10, 2, listOf(6, 0), 0))
        assertEquals(listOf(8, 2), floorFirstTargets(10, 2, listOf(20, 0), 0))
    }

    @Test
    fun `idle permits do not move while no entry lacks any, so that they do not oscillate`() {
        assertNull(change(LocalPermits(a, ledger(10, HeldPermits(7, 7), HeldPermits(3, 3))), demand = 0))
    }

    @Test
    fun `permits of completing tasks are not retained when another entry lacks permits`() {
        val local = LocalPermits(a, ledger(10, HeldPermits(10, 10), HeldPermits(0, 10)), mapOf(RED to 9))
        val plan = plan(local, demand = 10)
        assertEquals(PermitChange(release = 1, take = 0, wanted = 10), plan.report?.changes?.get(RED))
        assertEquals(5, plan.retained[RED])
    }

    @Test
    fun `permits of a suspected entry count as unavailable and nothing is released for its demand`() {
        val local = LocalPermits(a, ledger(10, HeldPermits(6, 6), HeldPermits(4, 10)))
        assertEquals(1, change(local, demand = 6)?.release)
        assertNull(change(local, demand = 6, live = setOf(a)))
    }

    @Test
    fun `members take turns when there are fewer permits than members with demand`() {
        val local = LocalPermits(a, ledger(1, HeldPermits(1, 1), HeldPermits(0, 1)))
        val releases = (0..1).map { plan(local, 1, at = Instant.fromEpochSeconds(1_000L + it)).report != null }
        assertEquals(listOf(false, true), releases)
    }

    @Test
    fun `the interval between reports grows with the number of entries`() {
        val local = LocalPermits(a, ledger(10, HeldPermits(0, 0), HeldPermits(0, 0)), lastReport = now)
        assertNull(plan(local, 5, at = now + 199.milliseconds).report)
        assertEquals(
            5,
            plan(local, 5, at = now + 200.milliseconds)
                .report
                ?.changes
                ?.get(RED)
                ?.take,
        )
        assertEquals(
            5,
            plan(local, 5, at = now - 1.milliseconds)
                .report
                ?.changes
                ?.get(RED)
                ?.take,
        )
        assertEquals(864.milliseconds, fleetReportInterval(72))
    }
}
