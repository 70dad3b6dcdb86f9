package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.PoolName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * The period in which every instance of [scope] is maintained once.
 *
 * @property start instances maintained before it are due
 * @property end when every instance shall be done
 * @property waveTime expected time from the drain of a batch until it is back in use
 */
public data class MaintenanceSchedule(
    public val scope: MaintenanceScope,
    public val start: Instant,
    public val end: Instant,
    public val waveTime: Duration,
) {
    /** The options of the schedule's next wave. */
    public fun options(wave: String, maximumDrains: Int = Int.MAX_VALUE): WaveOptions =
        WaveOptions(wave, start, maximumDrains)
}

/**
 * Unplanned failures to expect while the schedule runs.
 *
 * @property perInstanceAndDay expected failures of one instance in a day
 * @property timeToRepair mean time until a failed instance is in use again
 */
public data class FailureRate(public val perInstanceAndDay: Double, public val timeToRepair: Duration)

/**
 * Forecast of a schedule.
 *
 * @property waves waves that the slowest pool still needs
 * @property expectedEnd when the slowest pool is expected to be done; `null` if it never is
 * @property late pools that are not expected to be done in time and the reason
 */
public data class ScheduleForecast(
    public val waves: Int,
    public val expectedEnd: Instant?,
    public val late: Map<PoolName, LateReason>,
) {
    /** Whether the schedule is expected to finish in time. */
    public val inTime: Boolean get() = late.isEmpty()
}

/** Why a pool is not expected to be done in time. */
public enum class LateReason {
    /** Its availability budget is 0. */
    NoBudget,

    /** On average, failed instances use up the budget. */
    FailuresUseBudget,

    /** Its waves take longer than the time that is left. */
    TooManyWaves,
}

/**
 * Tells whether [schedule] can be kept from [now] on.
 *
 * A pool needs `sum over zones of ceil(due instances / budget)` waves. The budget is reduced by the mean number of
 * instances that are failed at the same time (Little's law: failures a day times repair time).
 */
public fun forecast(
    state: ConfigurationState,
    schedule: MaintenanceSchedule,
    now: Instant,
    failures: FailureRate,
): ScheduleForecast {
    val options = schedule.options("forecast")
    val late = HashMap<PoolName, LateReason>()
    val days = failures.timeToRepair.toDouble(DurationUnit.DAYS)
    var longest = Duration.ZERO
    var waves = 0
    for ((name, members) in state.instances.values.groupBy(Instance::pool)) {
        val due = members.filter { it in schedule.scope && it.isDue(options, now) }
        if (due.isEmpty()) continue
        val budget = state.pools[name]?.availabilityBudget ?: 0
        val effective = budget - members.size * failures.perInstanceAndDay * days
        if (effective <= 0) {
            late[name] = if (budget == 0) LateReason.NoBudget else LateReason.FailuresUseBudget
            continue
        }
        val perZone = due.groupingBy(Instance::zone).eachCount().values
        val slowdown = budget / effective
        val poolWaves = ceil(perZone.sumOf { ceil(it.toDouble() / budget) } * slowdown).toInt()
        waves = maxOf(waves, poolWaves)
        longest = maxOf(longest, schedule.waveTime * poolWaves)
        if (now + schedule.waveTime * poolWaves > schedule.end) late[name] = LateReason.TooManyWaves
    }
    val endless = late.values.any { it != LateReason.TooManyWaves }
    return ScheduleForecast(waves, if (endless) null else now + longest, late)
}
