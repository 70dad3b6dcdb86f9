package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.maintenance.RolloutStep
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.valueOrNull
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Waves that are halted, or continued by another operator, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class MaintenancePlanTest {
    private val log = InMemoryLog()
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val plan = MaintenancePlan("spring", startedAt = start.toEpochMilliseconds())
    private val file =
        FleetFile(
            pools = listOf(PoolItem("pricing", "price", budget = 1)),
            instances = List(3) { InstanceItem("i$it", "127.0.0.1:900$it", "a", "r", "w", "pricing") },
        )

    @Test
    fun `a wave is halted by failures above its threshold and read back from its document`() {
        val changes = assertNotNull(planFile(ConfigurationState.Empty, file).valueOrNull()) + publicationOf(plan)
        val state = assertNotNull(applyAll(ConfigurationState.Empty, changes).valueOrNull())
        assertEquals(plan, publishedPlan(state, "spring"))
        val first = assertIs<RolloutStep.NextBatch>(nextStep(state, plan, start)).drains.single()
        val failed = assertNotNull(applyAll(state, listOf(first, ObserveFailure(first.instance))).valueOrNull())
        assertEquals(RolloutStep.Halted(setOf(first.instance)), nextStep(failed, plan, start))
        assertIs<RolloutStep.Wait>(nextStep(failed, plan.copy(failureThreshold = 1), start))
    }

    @Test
    fun `a second operator continues a wave and every instance is maintained once`() =
        runTest {
            val first = log.session("first")
            val changes = assertNotNull(planFile(ConfigurationState.Empty, file).valueOrNull()) + publicationOf(plan)
            changes.forEach { assertIs<Outcome.Success<*>>(first.propose(it)) }
            // The first operator stops after its first drain.
            first.propose(DrainInstance(InstanceName("i0"), "spring"))
            val now = { start + currentTime.milliseconds }
            val second = OperatorContext(log.session("second"), { _, _ -> null }, now, {})
            val result = MaintenanceRun(second, plan, 2.seconds, { true }).run()
            assertEquals(ResultCode.Accepted, result.code)
            val instances = second.session.state.configuration.instances.values
            assertEquals(listOf(true, true, true), instances.map { !it.draining && it.maintainedAt != null })
            assertEquals(3, log.control.count { "instance-returned" in it.decodeToString() })
        }
}
