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

/**
 * Result of maintaining a fleet.
 *
 * @property hours time until no instance was due, or the simulated period if some still were at its end
 * @property mostMovesOfOneInstance most moves of one instance in a wave
 */
internal data class MaintenanceResult(
    val waves: Int,
    val hours: Int,
    val maintained: Int,
    val failures: Int,
    val moves: Int,
    val mostMovesOfOneInstance: Int,
)

/** On an ordinary day, 100 of 8,000 instances fail. */
private const val FAILURES_PER_INSTANCE_AND_DAY = 100.0 / 8_000
private const val REPAIR_HOURS = 6
private const val MAX_SIMULATED_HOURS = 35 * 24

/** Maintains every instance of a fleet once. A wave takes one hour from its drains to the return of its instances. */
internal class MaintenanceSimulation(
    size: FleetSize,
    seed: Long,
    private val planner: WavePlanner,
    withFailures: Boolean,
) {
    private val random = Random(seed)
    private val hourlyFailureProbability = if (withFailures) FAILURES_PER_INSTANCE_AND_DAY / 24 else 0.0
    private val start: Instant = instantAt(0)
    private var state: ConfigurationState = fleetOf(size)
    private val poolSizes = state.pools.keys
        .filter { it != SPARE_POOL }
        .associateWith { state.instancesOf(it).size }
    private val repairEndHours = HashMap<InstanceName, Int>()

    fun run(): MaintenanceResult {
        var result = MaintenanceResult(0, 0, 0, 0, 0, 0)
        for (hour in 0 until MAX_SIMULATED_HOURS) {
            val changes = failuresAndRecoveries(hour)
            state = state.applyAll(changes)
            state = state.applyAll(returnInstances(start + hour.hours))
            if (state.instances.values.all { it.maintainedAt != null }) break
            val moves = planMoves(state, MoveOptions(poolSizes, SPARE_POOL))
            state = state.applyAll(moves)
            val options = WaveOptions("wave-$hour", start)
            val drains = planner(state, MaintenanceScope.Fleet, start + hour.hours, options).drains
            state = state.applyAll(drains)
            val movesPerInstance = moves.groupingBy { it.instance }.eachCount().values
            result = result.copy(
                waves = result.waves + if (drains.isEmpty()) 0 else 1,
                hours = hour + 1,
                failures = result.failures + changes.count { it is ObserveFailure },
                moves = result.moves + moves.size,
                mostMovesOfOneInstance = maxOf(result.mostMovesOfOneInstance, movesPerInstance.maxOrNull() ?: 0),
            )
        }
        return result.copy(maintained = state.instances.values.count { it.maintainedAt != null })
    }

    private fun failuresAndRecoveries(hour: Int): List<ConfigurationChange> {
        val recovered = repairEndHours.filterValues { it <= hour }.keys.sorted()
        recovered.forEach(repairEndHours::remove)
        val failed = state.instances.values
            .filter { random.nextDouble() < hourlyFailureProbability && !it.failed && it.name !in recovered }
            .map(Instance::name)
        failed.forEach { repairEndHours[it] = hour + REPAIR_HOURS }
        return recovered.map(::ObserveRecovery) + failed.map(::ObserveFailure)
    }

    /** An instance that failed during its planned work is returned without a maintenance time and stays due. */
    private fun returnInstances(now: Instant): List<ConfigurationChange> =
        state.instances.values.mapNotNull { instance ->
            instance.wave?.let { ReturnInstance(instance.name, it, now.takeIf { !instance.failed }) }
        }
}

/**
 * Returns the smallest possible number of waves that maintain every instance of [pool], or of all pools. The bound
 * follows from the availability budgets and from working on one zone of a pool at a time.
 */
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

/** Returns the number of batches that a rollout to [pool] takes without failures. */
internal fun rolloutBatches(initial: ConfigurationState, pool: PoolName, batchSize: Int): Int {
    var state = initial
    var batches = 0
    val plan = RolloutPlan("rollout", pool, instantAt(0), batchSize = batchSize)
    while (true) {
        val now = instantAt(0) + batches.hours
        val step = planRollout(state, plan, now) as? RolloutStep.NextBatch ?: return batches
        batches++
        state = state.applyAll(step.drains)
        state = state.applyAll(step.drains.map { ReturnInstance(it.instance, plan.name, now + 1.hours) })
    }
}
