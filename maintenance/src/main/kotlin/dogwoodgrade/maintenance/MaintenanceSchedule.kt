package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.PoolName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Period in which every instance of [scope] is maintained once.
 *
 * @property start instances last maintained before this time are due
 * @property end time by which every instance has to be maintained
 * @property waveDuration expected time from the drain of a batch until its instances are back in use
 */
public data class MaintenanceSchedule(
    public val scope: MaintenanceScope,
    public val start: Instant,
    public val end: Instant,
    public val waveDuration: Duration,
) {
    /** Returns the options of the next wave. */
    public fun options(wave: String, maximumDrains: Int = Int.MAX_VALUE): WaveOptions =
        WaveOptions(wave, start, maximumDrains)
}

/**
 * Rate of unplanned failures that is expected during a schedule.
 *
 * @property dailyFailuresPerInstance expected failures of one instance in a day
 * @property meanTimeToRepair mean time until a failed instance is in use again
 */
public data class FailureRate(public val dailyFailuresPerInstance: Double, public val meanTimeToRepair: Duration)

/**
 * Forecast of a schedule.
 *
 * @property waves number of waves that the slowest pool still needs
 * @property expectedEnd expected time at which the slowest pool is done; `null` if a pool will never be done
 * @property late pools that are not expected to be done in time, with the reason
 */
public data class ScheduleForecast(
    public val waves: Int,
    public val expectedEnd: Instant?,
    public val late: Map<PoolName, LateReason>,
) {
    /** Whether the schedule is expected to finish in time. */
    public val inTime: Boolean get() = late.isEmpty()
}

/** Reason why a pool is not expected to be done in time. */
public enum class LateReason {
    /** The availability budget of the pool is 0. */
    NoBudget,

    /** On average, failed instances use up the whole budget. */
    FailuresUseBudget,

    /** The waves of the pool take longer than the remaining time. */
    TooManyWaves,
}

/**
 * Forecasts whether [schedule] finishes in time, seen from [now].
 *
 * A pool needs `sum over zones of ceil(due instances / budget)` waves. The budget is reduced by the mean number of
 * instances that are failed at the same time (Little's law: failures per day times repair time).
 */
public fun forecast(
    state: ConfigurationState,
    schedule: MaintenanceSchedule,
    now: Instant,
    failures: FailureRate,
): ScheduleForecast {
    val options = schedule.options("forecast")
    val late = HashMap<PoolName, LateReason>()
    val days = failures.meanTimeToRepair.toDouble(DurationUnit.DAYS)
    var longestDuration = Duration.ZERO
    var waves = 0
    for ((name, members) in state.instances.values.groupBy(Instance::pool)) {
        val due = members.filter { it in schedule.scope && it.isDue(options, now) }
        if (due.isEmpty()) continue
        val budget = state.pools[name]?.availabilityBudget ?: 0
        val effectiveBudget = budget - members.size * failures.dailyFailuresPerInstance * days
        if (effectiveBudget <= 0) {
            late[name] = if (budget == 0) LateReason.NoBudget else LateReason.FailuresUseBudget
            continue
        }
        val perZone = due.groupingBy(Instance::zone).eachCount().values
        val slowdown = budget / effectiveBudget
        val poolWaves = ceil(perZone.sumOf { ceil(it.toDouble() / budget) } * slowdown).toInt()
        waves = maxOf(waves, poolWaves)
        longestDuration = maxOf(longestDuration, schedule.waveDuration * poolWaves)
        if (now + schedule.waveDuration * poolWaves > schedule.end) late[name] = LateReason.TooManyWaves
    }
    val neverFinishes = late.values.any { it != LateReason.TooManyWaves }
    return ScheduleForecast(waves, if (neverFinishes) null else now + longestDuration, late)
}
