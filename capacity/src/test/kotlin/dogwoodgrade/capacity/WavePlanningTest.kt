package dogwoodgrade.capacity

import dogwoodgrade.scheduling.ExecutorIdentifier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class WavePlanningTest {
    private val now = Instant.fromEpochMilliseconds(1_000_000)
    private val idle = MachineLoad(0, 0)

    private fun machines(count: Int, pool: String = "pool", state: MachineState = MachineState.Up) =
        (0 until count).associate { "m$it" to Machine("m$it", pool, state, "zone", ExecutorIdentifier("x$it")) }

    private fun progress(machines: Collection<String>, atOnce: Int, vararg maintained: String) =
        WaveProgress(MaintenanceWave(1, machines.toList(), 30.seconds, atOnce), now, maintained.toSet())

    private fun plan(
        progress: WaveProgress,
        machines: Map<String, Machine>,
        load: MachineLoad? = idle,
        emptying: Set<String> = emptySet(),
        at: Instant = now,
    ) = planMaintenance(progress, emptying, machines, { load }, 2.seconds, at)

    @Test
    fun `no more machines than the wave allows are ordered at once`() {
        val machines = machines(9)
        val decision = plan(progress(machines.keys, 2), machines)
        assertEquals(2, decision.maintain.size)
    }

    @Test
    fun `machines that are down for maintenance count against the limit`() {
        val machines = machines(9) + ("m0" to Machine("m0", "pool", MachineState.Maintenance, "zone", null))
        assertEquals(1, plan(progress(machines.keys, 2, "m0"), machines).maintain.size)
    }

    @Test
    fun `an unconfirmed order counts against the limit and is repeated`() {
        val machines = machines(9)
        val open = progress(machines.keys, 1).copy(
            orders = mapOf(
                "m0" to MaintenanceOrder("m0", now - 20.seconds, false),
            ),
        )
        assertEquals(listOf("m0"), plan(open, machines).maintain)
    }

    @Test
    fun `only a fraction of a pool is emptied at once`() {
        val machines = machines(9)
        assertEquals(3, plan(progress(machines.keys, 9), machines).empty.size)
    }

    @Test
    fun `a machine with long-running tasks is emptied before its maintenance`() {
        val machines = machines(3)
        val decision = plan(progress(machines.keys, 1), machines, MachineLoad(0, 2))
        assertEquals(1, decision.empty.size)
        assertTrue(decision.maintain.isEmpty())
    }

    @Test
    fun `batch runs are waited for until the wave is behind schedule`() {
        val machines = machines(3)
        val busy = MachineLoad(2, 0)
        assertTrue(plan(progress(machines.keys, 1), machines, busy).maintain.isEmpty())
        assertEquals(1, plan(progress(machines.keys, 1), machines, busy, at = now + 20.seconds).maintain.size)
    }

    @Test
    fun `a wave is completed when each machine has begun its maintenance`() {
        val machines = machines(2)
        assertFalse(plan(progress(machines.keys, 1, "m0"), machines).completed)
        assertTrue(plan(progress(machines.keys, 1, "m0", "m1"), machines).completed)
    }

    @Test
    fun `a wave is not completed while the list of machines is empty`() {
        assertFalse(plan(progress(listOf("m0"), 1), emptyMap()).completed)
    }

    @Test
    fun `machines that no longer exist do not delay the completion of a wave`() {
        val machines = machines(1)
        assertTrue(plan(progress(listOf("m0", "gone"), 1, "m0"), machines).completed)
    }
}
