package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours

class PlanWaveTest {
    private val options = WaveOptions("w", START)

    private fun plan(state: ConfigurationState, scope: MaintenanceScope = MaintenanceScope.Fleet) =
        planWave(state, scope, START, options)

    private fun wavesToFinish(state: ConfigurationState, planner: WavePlanner): Int {
        var current = state
        var now = START
        for (wave in 0..200) {
            val plan = planner(current, MaintenanceScope.Fleet, now, options)
            if (plan.drains.isEmpty()) return wave.also { assertEquals(0, plan.remaining) }
            now += 1.hours
            current = current.accept(plan.drains).returnAll(now)
        }
        error("the planner makes no progress")
    }

    @Test
    fun `a wave takes whole racks across pools and stays in one zone per pool`() {
        val drains = plan(fleet(spares = 0)).drains.names()
        assertEquals(setOf("p0-0", "p1-0", "p2-0", "p0-3", "p1-3", "p2-3"), drains)
    }

    @Test
    fun `the fewest waves are used for budgets and zones of any size`() {
        // Zones of 4, 3 and 3 instances take ceil(4/b) + ceil(3/b) + ceil(3/b) waves.
        for ((budget, waves) in listOf(1 to 10, 2 to 6, 3 to 4, 4 to 3)) {
            val state = fleet(pools = 4, size = 10, budget = budget, spares = 0)
            assertEquals(waves, wavesToFinish(state, ::planWave), "budget $budget")
        }
        assertEquals(40, wavesToFinish(fleet(pools = 4, size = 10, spares = 0), ::planOneAtATime))
    }

    @Test
    fun `a failed instance uses up budget and is not drained`() {
        val state = fleet(pools = 1, spares = 0).accept(fail("p0-0"))
        assertEquals(1, plan(state).drains.size)
        assertTrue("p0-0" !in plan(state).drains.names())
        val blocked = plan(state.accept(fail("p0-1")))
        assertEquals(mapOf(PoolName("p0") to BlockReason.BudgetInUse), blocked.blocked)
    }

    @Test
    fun `instances in a zone out of service come first and beyond the budget`() {
        val state = fleet(pools = 2, size = 12, spares = 0)
        val out = state.accept(state.zone("z1", inService = false))
        val drains = plan(out).drains
        assertEquals(8, drains.size)
        assertTrue(
            drains.all {
                out.instances
                    .getValue(it.instance)
                    .zone.text == "z1"
            },
        )
        out.accept(drains)
    }

    @Test
    fun `the least recently maintained instances come first`() {
        val maintained =
            listOf("p0-0" to 1, "p0-1" to 9, "p0-2" to 5, "p0-3" to 2, "p0-4" to 3, "p0-5" to 4).map { (name, hours) ->
                listOf(drain(name), ReturnInstance(InstanceName(name), "w", START - hours.hours))
            }
        val state = fleet(pools = 1, spares = 0, budget = 1).accept(maintained.flatten())
        assertEquals(setOf("p0-1"), plan(state).drains.names())
    }

    @Test
    fun `only due instances in the scope are drained`() {
        val state = fleet()
        val scope = MaintenanceScope(instances = setOf(InstanceName("p1-2")))
        assertEquals(setOf("p1-2"), plan(state, scope).drains.names())
        assertEquals(0, plan(state.accept(drain("p1-2")).returnAll(START), scope).remaining)
        val early = planWave(state, MaintenanceScope.Fleet, START - 1.hours, options)
        assertEquals(emptyList(), early.drains, "work done before its time would be repeated without end")
    }

    @Test
    fun `the forecast says which pools cannot be done in time and why`() {
        val schedule = MaintenanceSchedule(MaintenanceScope.Fleet, START, START + 6.hours, 1.hours)
        val state = fleet(pools = 1, size = 10, spares = 0)
        val none = FailureRate(0.0, 1.hours)
        val cases =
            listOf(
                Triple(state, none, null),
                Triple(state, FailureRate(0.5, 12.hours), LateReason.FailuresUseBudget),
                Triple(state, FailureRate(0.1, 12.hours), LateReason.TooManyWaves),
                Triple(fleet(pools = 1, budget = 0, spares = 0), none, LateReason.NoBudget),
            )
        for ((current, failures, reason) in cases) {
            assertEquals(reason, forecast(current, schedule, START, failures).late[PoolName("p0")], "$failures")
        }
        assertEquals(START + 6.hours, forecast(state, schedule, START, none).expectedEnd)
    }
}
