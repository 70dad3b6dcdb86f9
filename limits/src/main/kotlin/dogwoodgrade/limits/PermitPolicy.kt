package dogwoodgrade.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Local policy for moving permits between entries. It affects only which entry holds permits, never the limit, so
 * entries may use different policies, for example during a rollout.
 *
 * @property targets rule that divides the permits of a team
 * @property floor returns the permits that an idle member should hold, given the limit and the number of joined entries
 * @property reportInterval returns the shortest time between two reports of an entry, given the number of joined
 * entries
 * @property turnLength time for which the same members hold the permits of a team that has fewer permits than members
 * with demand. Without turns, some members would never serve the team; shorter turns cost more log records.
 */
public data class PermitPolicy(
    public val targets: TargetRule = ::demandFirstTargets,
    public val floor: (limit: Int, entries: Int) -> Int = ::halfOfEvenSplit,
    public val reportInterval: (entries: Int) -> Duration = ::fleetReportInterval,
    public val turnLength: Duration = 1.seconds,
)

/** Shortest time between two reports of one entry. */
private val MIN_REPORT_INTERVAL = 200.milliseconds

/** Time per report over the whole fleet; 12 ms allow 83 reports per second, below the budget of 100. */
private val FLEET_REPORT_SPACING = 12.milliseconds

/** Returns half of an even split of [limit] over [entries], rounded down. */
public fun halfOfEvenSplit(limit: Int, entries: Int): Int = limit / (2 * entries.coerceAtLeast(1))

/** Returns 200 ms, or more if [entries] is so large that the fleet would exceed its budget of reports per second. */
public fun fleetReportInterval(entries: Int): Duration = maxOf(MIN_REPORT_INTERVAL, FLEET_REPORT_SPACING * entries)
