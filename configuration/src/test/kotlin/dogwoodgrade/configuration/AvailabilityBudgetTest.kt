package dogwoodgrade.configuration

import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationChange.RemoveInstance
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationChange.SetZone
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.Version
import dogwoodgrade.model.valueOrNull
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AvailabilityBudgetTest {
    private val state = sampleState()

    private fun drain(name: String) = DrainInstance(InstanceName(name), "w")

    @Test
    fun `drains stop at the budget of the pool`() {
        val drained = state.accept(drain("i1")).accept(drain("i2"))
        assertRefused(ResultCode.BudgetExceeded, drained.apply(drain("i3")))
        assertEquals(0, drained.remainingBudget(PoolName("p")))
    }

    @Test
    fun `an unplanned failure counts against the budget`() {
        val failed = state.accept(ObserveFailure(InstanceName("i5"))).accept(ObserveFailure(InstanceName("i6")))
        assertRefused(ResultCode.BudgetExceeded, failed.apply(drain("i1")))
        assertTrue(failed.accept(ObserveRecovery(InstanceName("i5"))).apply(drain("i1")).valueOrNull() != null)
    }

    @Test
    fun `planned work of a pool stays in one zone at a time`() {
        assertRefused(ResultCode.BudgetExceeded, state.accept(drain("i1")).apply(drain("i3")))
    }

    @Test
    fun `instances of a zone out of service may be drained and count as unavailable`() {
        val out = state.accept(SetZone(AvailabilityZone("a"), false, Version.None))
        assertRefused(ResultCode.BudgetExceeded, out.apply(drain("i3")))
        assertTrue(
            out
                .accept(drain("i1"))
                .instances
                .getValue(InstanceName("i1"))
                .draining,
        )
    }

    @Test
    fun `an instance in use cannot be removed`() {
        assertRefused(ResultCode.BudgetExceeded, state.apply(RemoveInstance(InstanceName("i1"))))
        val removed = state.accept(drain("i1")).accept(RemoveInstance(InstanceName("i1")))
        assertTrue(InstanceName("i1") !in removed.instances)
    }

    @Test
    fun `a move that races with a drain does not exceed the budget of the new pool`() {
        val move = MoveInstance(InstanceName("i1"), PoolName("p"), PoolName("spare"))
        assertRefused(ResultCode.BudgetExceeded, state.accept(drain("i1")).apply(move))
        val noBudget = state.accept(setPool("spare", budget = 0, base = 1)).accept(ObserveFailure(InstanceName("i1")))
        assertRefused(ResultCode.BudgetExceeded, noBudget.apply(move))
        assertEquals(
            PoolName("spare"),
            state
                .accept(move)
                .instances
                .getValue(InstanceName("i1"))
                .pool,
        )
    }

    @Test
    fun `only the wave that drains an instance returns it`() {
        val drained = state.accept(drain("i1"))
        assertRefused(ResultCode.StateUnchanged, drained.apply(ReturnInstance(InstanceName("i1"), "other", null)))
        assertEquals(
            null,
            drained
                .accept(ReturnInstance(InstanceName("i1"), "w", null))
                .instances.values
                .first()
                .wave,
        )
    }

    @Property(seed = "20261204", tries = 300)
    fun `no sequence of accepted drains exceeds the budget beyond unplanned failures`(
        @ForAll @Size(max = 40) steps: List<
            @IntRange(min = 0, max = 23)
            Int,
        >,
    ) {
        var current = state
        for (step in steps) {
            val name = InstanceName("i${step % 6 + 1}")
            val change =
                when (step / 6) {
                    0 -> DrainInstance(name, "w")
                    1 -> ReturnInstance(name, "w", null)
                    2 -> ObserveFailure(name)
                    else -> ObserveRecovery(name)
                }
            val before = current
            current = current.apply(change).valueOrNull() ?: current
            if (change is DrainInstance && current !== before && before.isUsable(before.instances.getValue(name))) {
                assertTrue(current.instances.values.count { !current.isUsable(it) } <= 2)
            }
            assertEquals(6, current.instances.size)
        }
    }
}
