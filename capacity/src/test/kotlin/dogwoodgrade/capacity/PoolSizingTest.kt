package dogwoodgrade.capacity

import dogwoodgrade.scheduling.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PoolSizingTest {
    private val now = Instant.fromEpochMilliseconds(1_000_000)
    private val policy = SizingPolicy()
    private val unit = Resources(64_000, 128_000)

    private fun machine(name: String, pool: String, movable: Boolean = true, zone: String = "a") =
        MachineAvailability(Machine(name, pool, MachineState.Up, zone, null, unit), usable = true, movable = movable)

    private fun demand(
        pool: String,
        inUse: Long = 0,
        waiting: Long = 0,
        arriving: Long = 0,
        minimumMachines: Int = 0,
        standby: Boolean = false,
    ) = PoolDemand(pool, Resources(inUse, 0), Resources(waiting, 0), Resources(arriving, 0), minimumMachines, standby)

    private val standbyMachines = List(9) { machine("s$it", "standby") }

    private fun plan(
        demands: List<PoolDemand>,
        machines: List<MachineAvailability>,
        surplus: Map<String, Instant> = emptyMap(),
    ) = planPoolSizes(demands + demand("standby", standby = true), machines + standbyMachines, surplus, policy, now)

    @Test
    fun `a pool in a burst takes machines from standby`() {
        val machines = List(3) { machine("a$it", "a", movable = false) }
        val plan = plan(listOf(demand("a", 190_000, 200_000)), machines)
        assertTrue(plan.moves.size >= 3, plan.moves.toString())
        assertTrue(plan.moves.all { it.pool == "a" && it.machine.pool == "standby" })
    }

    /** Guards against pools that grow only after the first tasks of a burst have filled them. */
    @Test
    fun `a pool grows by the arriving work before tasks fill it`() {
        val machines = List(3) { machine("a$it", "a", movable = false) }
        val plan = plan(listOf(demand("a", inUse = 50_000, arriving = 500_000)), machines)
        assertEquals(9, plan.wanted.getValue("a"))
        assertEquals(6, plan.moves.count { it.pool == "a" })
    }

    @Test
    fun `the pool with the smallest ratio of size to need gets machines first`() {
        val machines = List(6) { machine("b$it", "b", movable = false) } + machine("a", "a", movable = false)
        val plan = plan(listOf(demand("a", 64_000, 500_000), demand("b", 380_000, 60_000)), machines)
        assertEquals("a", plan.moves.first().pool)
    }

    /** Guards against idle pools that take the last standby machines while work waits in other pools. */
    @Test
    fun `pools without work are filled up to the minimum size last`() {
        val machines = List(3) { machine("a$it", "a", movable = false) }
        val plan = plan(listOf(demand("a", 190_000, 250_000), demand("b")), machines)
        assertEquals(List(5) { "a" } + List(3) { "b" }, plan.moves.map { it.pool })
    }

    @Test
    fun `machines with running tasks are not taken`() {
        val busy = List(8) { machine("b$it", "b", movable = false) }
        val plan = planPoolSizes(listOf(demand("a", 0, 900_000), demand("b")), busy, emptyMap(), policy, now)
        assertTrue(plan.moves.isEmpty())
    }

    @Test
    fun `surplus machines go to standby only after the surplus delay`() {
        val machines = List(6) { machine("a$it", "a") }
        val first = plan(listOf(demand("a")), machines)
        assertTrue(first.moves.isEmpty())
        assertEquals(now, first.surplusSince["a"])
        val later = plan(listOf(demand("a")), machines, mapOf("a" to now - 5.seconds))
        assertEquals(3, later.moves.size)
        assertTrue(later.moves.all { it.pool == "standby" })
    }

    @Test
    fun `demand is the larger of processor and memory`() {
        val machines = List(3) { machine("a$it", "a", movable = false) }
        val memory = PoolDemand("a", Resources(1_000, 380_000), Resources(0, 300_000), Resources.None, 0, false)
        assertTrue(plan(listOf(memory), machines).wanted.getValue("a") > 4)
    }

    /** Guards against long-running tasks that wait forever in a pool that is too small for their limit per machine. */
    @Test
    fun `a pool keeps the machines that the limits on tasks per machine require`() {
        val machines = List(5) { machine("a$it", "a") }
        val plan =
            plan(listOf(demand("a", inUse = 20_000, minimumMachines = 5)), machines, mapOf("a" to now - 5.seconds))
        assertTrue(plan.moves.isEmpty(), plan.moves.toString())
    }

    /** Guards against a pool that loses all its machines when one zone fails. */
    @Test
    fun `surplus machines are taken from the zones where the pool has the most`() {
        val machines = List(3) { machine("a$it", "a") } + machine("b0", "a", zone = "b")
        val plan = plan(listOf(demand("a")), machines, mapOf("a" to now - 5.seconds))
        assertEquals(listOf("a"), plan.moves.map { it.machine.zone })
    }

    /** Guards against paying for idle machines in a zone in which nothing may start. */
    @Test
    fun `idle machines of an evacuated zone go to standby and nowhere else`() {
        val machines = List(3) { machine("a$it", "a", movable = false) }
        val evacuated =
            MachineAvailability(machine("e0", "b", zone = "e").machine, usable = false, movable = true, true)
        val plan = plan(listOf(demand("a", 190_000, 10_000), demand("b")), machines + evacuated)
        assertEquals(listOf("standby"), plan.moves.filter { it.machine.name == "e0" }.map { it.pool })
        val none = planPoolSizes(listOf(demand("a", 0, 900_000)), listOf(evacuated), emptyMap(), policy, now)
        assertTrue(none.moves.isEmpty())
    }
}
