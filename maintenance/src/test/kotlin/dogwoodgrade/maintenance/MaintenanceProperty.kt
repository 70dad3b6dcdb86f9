package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.apply
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.valueOrNull
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** Random sequences of planned work, failures and zone changes, proposed by operators whose state may lag. */
class MaintenanceProperty {
    private val moveOptions = MoveOptions((0..3).associate { PoolName("p$it") to 8 }, PoolName("spare"))

    @Property(seed = "20261204", tries = 150)
    fun `budgets hold and every instance stays in one pool with concurrent operators`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val history = ArrayList(listOf(fleet(pools = 4, size = 8, budget = 1 + random.nextInt(3), spares = 6)))
        repeat(60) { step ->
            val current = history.last()
            val seen = history[(history.size - 1 - random.nextInt(12)).coerceAtLeast(0)]
            for (change in proposals(seen, current, random, step)) {
                val before = history.last()
                val after = before.apply(change).valueOrNull() ?: continue
                if (change is DrainInstance) assertDrainAllowed(before, after, change)
                assertEquals(current.instances.keys, after.instances.keys)
                assertEquals(current.instances.size, after.pools.keys.sumOf { after.instancesOf(it).size })
                history += after
            }
            assertProgress(history.last(), WaveOptions("check", START))
        }
    }

    private fun proposals(
        seen: ConfigurationState,
        current: ConfigurationState,
        random: Random,
        step: Int,
    ): List<ConfigurationChange> {
        val now = START + step.minutes
        val anyone = current.instances.values.random(random)
        return when (random.nextInt(8)) {
            0, 1, 2 -> planWave(seen, MaintenanceScope.Fleet, now, WaveOptions("w$step", START)).drains
            3 ->
                seen.instances.values
                    .filter { it.draining && random.nextBoolean() }
                    .map { ReturnInstance(it.name, requireNotNull(it.wave), now) }
            4 -> planMoves(seen, moveOptions)
            5 -> listOf(fail(anyone.name.text))
            6 ->
                current.instances.values
                    .filter { it.failed && random.nextBoolean() }
                    .map { ObserveRecovery(it.name) }
            else -> listOf(seen.zone(anyone.zone.text, inService = random.nextBoolean()))
        }
    }

    /** Counts unavailable instances independently of the fold, so that a fault in its budget check is detected. */
    private fun assertDrainAllowed(before: ConfigurationState, after: ConfigurationState, change: DrainInstance) {
        val instance = before.instances.getValue(change.instance)
        if (instance.failed || !before.isInService(instance.zone)) return
        val pool = after.pools.getValue(instance.pool)
        val members = after.instances.values.filter { it.pool == pool.name }
        val unavailable = members.count { it.draining || it.failed || !after.isInService(it.zone) }
        assertTrue(unavailable <= pool.availabilityBudget, "$pool has $unavailable unavailable instances")
        val zones = members.filter { it.draining && after.isInService(it.zone) }.map { it.zone }.toSet()
        assertEquals(1, zones.size, "planned work of ${pool.name} in zones $zones")
    }

    /** Asserts that the fold accepts every planned drain, and that pools with free budget and due work get drains. */
    private fun assertProgress(state: ConfigurationState, options: WaveOptions) {
        val plan = planWave(state, MaintenanceScope.Fleet, START + 2.hours, options)
        val after = state.accept(plan.drains)
        for (pool in state.pools.keys) {
            val nextOptions = WaveOptions("next", options.dueBefore)
            val next = planWave(after, MaintenanceScope(pools = setOf(pool)), START + 2.hours, nextOptions)
            assertEquals(emptyList(), next.drains, "a wave left budget of $pool unused")
            val zones =
                state
                    .instancesOf(pool)
                    .filter { it.draining && state.isInService(it.zone) }
                    .map { it.zone }
                    .toSet()
            val work =
                state.instancesOf(pool).filter {
                    state.isUsable(it) && it.isDue(options, START + 2.hours) && (zones - it.zone).isEmpty()
                }
            val budget = freeBudget(state, pool)
            val drained = plan.drains.count { drain -> work.any { it.name == drain.instance } }
            if (budget > 0 && work.isNotEmpty()) assertTrue(drained > 0, "$pool makes no progress")
        }
    }

    private fun freeBudget(state: ConfigurationState, pool: PoolName): Int =
        state.pools.getValue(pool).availabilityBudget - state.instancesOf(pool).count { !state.isUsable(it) }
}
