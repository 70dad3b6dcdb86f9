package dogwoodgrade.measure

import dogwoodgrade.routing.EndpointChoice
import dogwoodgrade.routing.powerOfTwoChoices
import dogwoodgrade.shares.LeastUsagePerShare
import dogwoodgrade.shares.SelectionPolicy

/** Options of one run; a run with the same seed has the same arrivals whatever the policy. */
internal data class ServiceOptions(
    val seed: Long,
    val entries: Int = 8,
    val seconds: Long = 200,
    val burstMilliseconds: Long = 20_000,
    /** Mean demand of a pool relative to its slots. */
    val load: Double = 0.9,
    val policy: SelectionPolicy = LeastUsagePerShare,
    val exchange: Boolean = true,
    /** Whether an entry knows the free slots of a pool at once, instead of from gossip. */
    val exactSlots: Boolean = false,
    val demand: BurstDemand = BurstDemand(PoolSizes.size, burstMilliseconds),
    /** Whether one worker fails everything and callers cancel in waves. */
    val faults: Boolean = true,
    val choice: () -> EndpointChoice = { ::powerOfTwoChoices },
    val outage: ZoneOutage? = null,
)

/**
 * Operators take zone 0 out of service at [outAt] and bring it back at [backAt]; an entry folds either within
 * [foldMilliseconds]. For [coldMilliseconds] after the return its endpoints run at [coldSpeed].
 */
internal data class ZoneOutage(
    val outAt: Long = 20_000,
    val backAt: Long = 50_000,
    val slowStart: Boolean = true,
    val foldMilliseconds: Long = 1_000,
    val coldMilliseconds: Long = 10_000,
    val coldSpeed: Double = 0.3,
)
