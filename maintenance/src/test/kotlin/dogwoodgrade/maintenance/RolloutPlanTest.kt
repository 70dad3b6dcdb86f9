package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.SetDocument
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.Version
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class RolloutPlanTest {
    private val plan = RolloutPlan("prices-2", PoolName("p0"), START, observationTime = 5.minutes)
    private val state = fleet()
    private val batch = assertIs<RolloutStep.NextBatch>(planRollout(state, plan, START)).drains

    @Test
    fun `a rollout finishes in batches from the folded state and the plan alone`() {
        var current = state
        var now = START
        var batches = 0
        while (true) {
            // Only the folded state and the plan are passed from one step to the next, as between two operators.
            when (val step = planRollout(current, plan, now)) {
                is RolloutStep.NextBatch -> current = current.accept(step.drains).also { batches++ }
                is RolloutStep.Wait -> current = current.returnAll(now)
                else -> break
            }
            now += 1.minutes
        }
        assertEquals(RolloutStep.Finished, planRollout(current, plan, now))
        assertEquals(3, batches)
    }

    @Test
    fun `a batch with more failures than the threshold halts the rollout`() {
        val returned = state.accept(batch).returnAll(START + 1.seconds)
        val failed = returned.accept(fail(batch.first().instance.text))
        val halted = RolloutStep.Halted(setOf(batch.first().instance))
        assertEquals(halted, planRollout(failed, plan, START + 10.minutes))
        assertEquals(halted, planRollout(state.accept(batch).accept(fail("p0-0")), plan, START))
        assertIs<RolloutStep.NextBatch>(planRollout(failed, plan.copy(failureThreshold = 1), START + 10.minutes))
    }

    @Test
    fun `a failure of an instance outside the batch does not halt the rollout`() {
        val failed = state.accept(fail("p0-5"))
        assertEquals(1, assertIs<RolloutStep.NextBatch>(planRollout(failed, plan, START)).drains.size)
    }

    @Test
    fun `a rollout waits for its start, the end of the batch, the observation time and free budget`() {
        val cases =
            listOf(
                Triple(state.accept(batch), START, WaitReason.BatchUnderWay),
                Triple(state.accept(batch).returnAll(START), START + 4.minutes, WaitReason.ObservationTime),
                Triple(state, START - 1.seconds, WaitReason.NotStarted),
                Triple(state.accept(fail("p0-4"), fail("p0-5")), START, WaitReason.NoBudget),
            )
        for ((current, now, reason) in cases) assertEquals(RolloutStep.Wait(reason), planRollout(current, plan, now))
    }

    @Test
    fun `a rollout of a replaced document version does not continue`() {
        val name = DocumentName("prices")
        val versioned = plan.copy(document = DocumentKey(name, 1), documentVersion = Version(1))
        val first = state.accept(SetDocument(name, 1, "a", Version.None))
        assertIs<RolloutStep.NextBatch>(planRollout(first, versioned, START))
        val second = first.accept(SetDocument(name, 1, "b", Version(1)))
        assertEquals(RolloutStep.Superseded, planRollout(second, versioned, START))
    }
}
