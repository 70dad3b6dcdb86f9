package dogwoodgrade.measure

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.maintenance.MaintenanceScope
import dogwoodgrade.maintenance.MoveOptions
import dogwoodgrade.maintenance.RolloutPlan
import dogwoodgrade.maintenance.RolloutStep
import dogwoodgrade.maintenance.WaveOptions
import dogwoodgrade.maintenance.WavePlanner
import dogwoodgrade.maintenance.planMoves
import dogwoodgrade.maintenance.planRollout
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/** Result of maintaining a fleet; [hours] is the period if instances were still due at its end. */
internal data class MaintenanceResult(
    val waves: Int,
    val hours: Int,
    val maintained: Int,
    val failures: Int,
    val moves: Int,
    val largestMoves: Int,
)

/** Failures of one instance a day: 100 of 8,000 on an ordinary day. */
private const val FAILURES_A_DAY = 100.0 / 8_000
private const val REPAIR_HOURS = 6
private const val PERIOD_HOURS = 35 * 24

/** Maintains every instance of a fleet once; a wave takes one hour from its drains to the return of its instances. */
internal class MaintenanceSimulation(size: FleetSize, seed: Long, private val planner: WavePlanner, failing: Boolean) {
    private val random = Random(seed)
    private val rate = if (failing) FAILURES_A_DAY / 24 else 0.0
    private val start: Instant = instantAt(0)
    private var state: ConfigurationState = fleetOf(size)
    private val wanted = state.pools.keys
        .filter { it != SparePool }
        .associateWith { state.instancesOf(it).size }
    private val repairs = HashMap<InstanceName, Int>()

    fun run(): MaintenanceResult {
        var result = MaintenanceResult(0, 0, 0, 0, 0, 0)
        for (hour in 0 until PERIOD_HOURS) {
            val events = events(hour)
            state = state.accept(events)
            state = state.accept(returns(start + hour.hours))
            if (state.instances.values.all { it.maintainedAt != null }) break
            val moves = planMoves(state, MoveOptions(wanted, SparePool))
            state = state.accept(moves)
            val options = WaveOptions("wave-$hour", start)
            val drains = planner(state, MaintenanceScope.Fleet, start + hour.hours, options).drains
            state = state.accept(drains)
            val ofOne = moves.groupingBy { it.instance }.eachCount().values
            result = result.copy(
                waves = result.waves + if (drains.isEmpty()) 0 else 1,
                hours = hour + 1,
                failures = result.failures + events.count { it is ObserveFailure },
                moves = result.moves + moves.size,
                largestMoves = maxOf(result.largestMoves, ofOne.maxOrNull() ?: 0),
            )
        }
        return result.copy(maintained = state.instances.values.count { it.maintainedAt != null })
    }

    private fun events(hour: Int): List<ConfigurationChange> {
        val recovered = repairs.filterValues { it <= hour }.keys.sorted()
        recovered.forEach(repairs::remove)
        val failed = state.instances.values
            .filter { random.nextDouble() < rate && !it.failed && it.name !in recovered }
            .map(Instance::name)
        failed.forEach { repairs[it] = hour + REPAIR_HOURS }
        return recovered.map(::ObserveRecovery) + failed.map(::ObserveFailure)
    }

    /** An instance that failed during its planned work is returned without a maintenance time and stays due. */
    private fun returns(now: Instant): List<ConfigurationChange> =
        state.instances.values.mapNotNull { instance ->
            instance.wave?.let { ReturnInstance(instance.name, it, now.takeIf { !instance.failed }) }
        }
}

/** Returns the fewest waves that maintain every instance, by the budgets and with one zone of a pool at a time. */
internal fun fewestWaves(state: ConfigurationState, pool: PoolName? = null): Int =
    state.instances.values
        .filter { pool == null || it.pool == pool }
        .groupBy(Instance::pool)
        .maxOf { (name, members) ->
            val budget = state.pools.getValue(name).availabilityBudget
            members
                .groupingBy(Instance::zone)
                .eachCount()
                .values
                .sumOf { (it + budget - 1) / budget }
        }

/** Returns the number of batches of a rollout over [pool] without failures. */
internal fun rolloutBatches(initial: ConfigurationState, pool: PoolName, batchSize: Int): Int {
    var state = initial
    var batches = 0
    val plan = RolloutPlan("rollout", pool, instantAt(0), batchSize = batchSize)
    while (true) {
        val now = instantAt(0) + batches.hours
        val step = planRollout(state, plan, now) as? RolloutStep.NextBatch ?: return batches
        batches++
        state = state.accept(step.drains)
        state = state.accept(step.drains.map { ReturnInstance(it.instance, plan.name, now + 1.hours) })
    }
}
