package dogwoodgrade.measure

import dogwoodgrade.routing.EndpointChoice
import dogwoodgrade.routing.powerOfTwoChoices
import dogwoodgrade.shares.SelectionPolicy
import dogwoodgrade.shares.leastUsagePerShare

/** Options of one run. Runs with the same seed have the same arrivals, whatever the policy. */
internal data class ServiceOptions(
    val seed: Long,
    val entries: Int = 8,
    val seconds: Long = 200,
    val burstMilliseconds: Long = 20_000,
    /** Mean demand of a pool relative to its slots. */
    val load: Double = 0.9,
    val policy: SelectionPolicy = leastUsagePerShare,
    /** Whether the entries exchange their usage by gossip. */
    val exchangesUsage: Boolean = true,
    /** Whether an entry knows the free slots of a pool without delay instead of from gossip. */
    val exactSlots: Boolean = false,
    val demand: BurstDemand = BurstDemand(POOL_SIZES.size, burstMilliseconds),
    /** Whether one worker fails all tasks and callers of one team periodically cancel many requests at once. */
    val faults: Boolean = true,
    val choice: () -> EndpointChoice = { ::powerOfTwoChoices },
    val outage: ZoneOutage? = null,
)

/**
 * An outage of zone 0: operators take it out of service at [takenOutAt] and return it at [returnedAt], both in
 * milliseconds of virtual time. Each entry applies either change within [foldDelayMilliseconds]. For
 * [coldMilliseconds] after the return, tasks that start at the endpoints of the zone run at [coldSpeed] times the
 * normal speed.
 */
internal data class ZoneOutage(
    val takenOutAt: Long = 20_000,
    val returnedAt: Long = 50_000,
    val slowStart: Boolean = true,
    val foldDelayMilliseconds: Long = 1_000,
    val coldMilliseconds: Long = 10_000,
    val coldSpeed: Double = 0.3,
)
