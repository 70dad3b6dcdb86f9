package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import kotlin.math.max
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours

/** Results of one run. [finishedAfterHours] is `null` if instances were still due at the end. */
internal data class FleetResult(
    val maintained: Int,
    val waves: Int,
    val finishedAfterHours: Int?,
    val moves: Int,
    val largestMovesInWave: Int,
    val failures: Int,
    val overBudgetDrains: Int,
    val rackVisits: Int,
)

/** Parameters of a run; the failures are the same for the same [seed]. */
internal data class FleetPolicy(
    val planner: WavePlanner,
    val toleratedLoss: Int,
    val period: Duration = FLEET_PERIOD,
    val seed: Int = 20_261_204,
)

internal const val INSTANCE_COUNT = 8_000
internal const val POOL_COUNT = 209
internal const val ZONE_COUNT = 9
internal const val AVAILABILITY_BUDGET = 4
private const val INSTANCES_PER_RACK = 4
private const val FAILURES_PER_DAY = 100
private const val REPAIR_HOURS = 6
internal val FLEET_PERIOD = 35.days

/** 8,000 instances, four to a rack, in 9 zones; neighbours in a rack are in different pools. Pool 208 is the spare. */
internal fun plannedFleet(): ConfigurationState {
    val pools = (0 until POOL_COUNT).map { setPool("p$it", AVAILABILITY_BUDGET) }
    val instances =
        (0 until INSTANCE_COUNT).map {
            val rack = it / INSTANCES_PER_RACK
            addInstance("i$it", "p${it % POOL_COUNT}", "z${rack % ZONE_COUNT}", "r$rack")
        }
    // The instances are added without the fold: 8,000 steps that each copy the map would take longer than the run.
    val added = instances.map { Instance(it.name, it.address, it.zone, it.rack, it.worker, it.pool) }
    return ConfigurationState.Empty.accept(pools).copy(instances = added.associateBy(Instance::name))
}

/**
 * Simulates maintenance in steps of one hour, the time from the drain of an instance to its return.
 *
 * Failures are random single instances, and one rack each week. One zone is out of service for six hours in the
 * second week.
 */
internal fun runFleet(initial: ConfigurationState, policy: FleetPolicy): FleetResult {
    val random = Random(policy.seed)
    val sparePool = PoolName("p${POOL_COUNT - 1}")
    val targetSizes = initial.pools.keys
        .filter { it != sparePool }
        .associateWith { initial.instancesOf(it).size }
    val failedUntil = HashMap<InstanceName, Int>()
    var state = initial
    var result = FleetResult(0, 0, null, 0, 0, 0, 0, 0)
    for (hour in 0 until policy.period.inWholeHours.toInt()) {
        val now = START + hour.hours
        val events = environmentChanges(state, random, hour, failedUntil)
        state = state.accept(events)
        val steps = planDrainSteps(state, DrainObservations(), DrainEntries(emptyList()), { reboot(state, it) }, now)
        state = state.accept(steps.values.filterIsInstance<DrainStep.Propose>().map { it.change })

        val moves = planMoves(state, MoveOptions(targetSizes, sparePool, policy.toleratedLoss))
        state = state.accept(moves)
        val options = WaveOptions("wave-$hour", START)
        val plan = policy.planner(state, MaintenanceScope.Fleet, now, options)
        val usable = plan.drains.filter { state.isUsable(state.instances.getValue(it.instance)) }
        state = state.accept(plan.drains)
        result =
            result.copy(
                waves = result.waves + if (plan.drains.isEmpty()) 0 else 1,
                finishedAfterHours = result.finishedAfterHours ?: hour.takeIf { isFinished(state) },
                moves = result.moves + moves.size,
                largestMovesInWave =
                    max(result.largestMovesInWave, moves.groupBy { it.instance }.values.maxOfOrNull { it.size } ?: 0),
                failures = result.failures + events.count { it is ObserveFailure },
                overBudgetDrains = result.overBudgetDrains + overBudget(state, usable),
                rackVisits =
                    result.rackVisits + plan.drains.distinctBy { state.instances.getValue(it.instance).rack }.size,
            )
    }
    return result.copy(maintained = state.instances.values.count { it.maintainedAt != null })
}

private fun isFinished(state: ConfigurationState): Boolean = state.instances.values.all { it.maintainedAt != null }

private fun reboot(state: ConfigurationState, name: InstanceName): RebootProgress =
    if (state.instances.getValue(name).failed) RebootProgress.Failed else RebootProgress.Succeeded

/** Counts the pools that exceed their budget after drains of [usable] instances, independently of the fold. */
private fun overBudget(state: ConfigurationState, usable: List<DrainInstance>): Int {
    if (usable.isEmpty()) return 0
    val unavailable = state.instances.values
        .filterNot(state::isUsable)
        .groupingBy(Instance::pool)
        .eachCount()
    val drained = usable.mapTo(HashSet()) { state.instances.getValue(it.instance).pool }
    return drained.count { (unavailable[it] ?: 0) > state.pools.getValue(it).availabilityBudget }
}

private fun environmentChanges(
    state: ConfigurationState,
    random: Random,
    hour: Int,
    failedUntil: MutableMap<InstanceName, Int>,
): List<ConfigurationChange> {
    val changes = ArrayList<ConfigurationChange>()
    val recovered = failedUntil.filterValues { it <= hour }.keys.toList()
    recovered.forEach(failedUntil::remove)
    changes += recovered.map { ObserveRecovery(it) }
    val perHour = FAILURES_PER_DAY / 24 + if (random.nextInt(24) < FAILURES_PER_DAY % 24) 1 else 0
    val failing = List(perHour) { random.nextInt(INSTANCE_COUNT) }.toMutableList()
    val rack = random.nextInt(INSTANCE_COUNT / INSTANCES_PER_RACK) * INSTANCES_PER_RACK
    if (hour % (7 * 24) == 5) failing += rack until rack + INSTANCES_PER_RACK
    for (name in failing.distinct().map { InstanceName("i$it") }) {
        if (failedUntil.putIfAbsent(name, hour + REPAIR_HOURS) == null && name !in recovered) {
            changes += ObserveFailure(name)
        } else if (name in recovered) {
            failedUntil.remove(name)
        }
    }
    if (hour == ZONE_OUTAGE_HOUR) changes += state.zone("z3", inService = false)
    if (hour == ZONE_OUTAGE_HOUR + 6) changes += state.zone("z3", inService = true)
    return changes
}

private const val ZONE_OUTAGE_HOUR = 9 * 24
