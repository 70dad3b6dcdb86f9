package dogwoodgrade.membership

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.TeamName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/*
 * Members publish their usage as counters that never decrease. Recent usage is derived from these counters on the time
 * scale of the member's heartbeats, so that it does not depend on the path or the delay of the messages.
 */

/** Time constant of the exponential decay of recent usage; the fair queues use the same one. */
internal val USAGE_TIME_CONSTANT: Duration = 5.seconds

/**
 * Use of a pool through one member.
 *
 * @property team the team that uses the pool, or `null` for the open queues
 * @property usage exponentially decayed usage, in slot-seconds
 * @property slots slots in use, averaged over the last increase of the published usage
 * @property reserve slots of the urgent reserve in use
 * @property waiting requests that wait for a slot
 */
public data class PoolUse(
    public val pool: PoolName,
    public val team: TeamName?,
    public val usage: Double,
    public val slots: Double,
    public val reserve: Int,
    public val waiting: Int,
)

/**
 * Recent slot time of one queue through a member.
 *
 * @property usage usage in slot-seconds, decayed until the heartbeat [at]
 * @property slots slots in use until the heartbeat [at]
 * @property at heartbeat of the last known increase
 */
internal data class RecentUsage(val usage: Double, val slots: Double, val at: Long) {
    /** Slots assumed to be in use at [heartbeat]; 0 if the counter has not increased for [MAX_SPREAD_HEARTBEATS]. */
    fun slotsAt(heartbeat: Long): Double = if (heartbeat - at < MAX_SPREAD_HEARTBEATS) slots else 0.0

    /** Usage at [heartbeat], including the assumed use of slots since the last increase of the counter. */
    fun usageAt(heartbeat: Long): Double = decayed(heartbeat) + accrued(slotsAt(heartbeat), heartbeat - at)

    /** Returns the usage after the counter has grown by [increase] slot-seconds, published at [heartbeat]. */
    fun plus(increase: Double, heartbeat: Long): RecentUsage {
        val spread = (heartbeat - at).coerceIn(1, MAX_SPREAD_HEARTBEATS)
        val slots = increase / spread
        return RecentUsage(decayed(heartbeat) + accrued(slots, spread), slots, maxOf(heartbeat, at))
    }

    private fun decayed(heartbeat: Long): Double = usage * exp(-elapsed(heartbeat - at))

    private fun accrued(slots: Double, heartbeats: Long): Double =
        slots * (1 - exp(-elapsed(heartbeats))) * (USAGE_TIME_CONSTANT / HEARTBEAT_INTERVAL)

    private fun elapsed(heartbeats: Long): Double =
        HEARTBEAT_INTERVAL * heartbeats.coerceAtLeast(0).toInt() / USAGE_TIME_CONSTANT

    private companion object {
        /**
         * Largest number of heartbeats over which an increase is spread. The byte budget may delay an increase by this
         * much; after a longer time without an increase the member counts as idle.
         */
        const val MAX_SPREAD_HEARTBEATS = 3L
    }
}

/** Time between two heartbeats of a member. */
internal val HEARTBEAT_INTERVAL: Duration = 1.seconds

/**
 * Returns the recent usage as of [after], given that [held] is as of [before]. The first known state of an incarnation
 * only serves as a baseline, because its counters may have grown over hours.
 */
internal fun recentUsage(
    held: Map<CellName.Usage, RecentUsage>,
    before: MemberState?,
    after: MemberState,
): Map<CellName.Usage, RecentUsage> {
    if (before == null || before.key != after.key) return emptyMap()
    val recent = HashMap(held)
    after.cells.forEachIndexed { index, cell ->
        val name = cell.name as? CellName.Usage ?: return@forEachIndexed
        val previous = before.cells.getOrNull(index)?.takeIf { it.name == name }
        val increase = cell.value - (previous?.value ?: 0)
        if (increase <= 0) return@forEachIndexed
        // A counter that is new in this state began to grow no earlier than the previous state.
        val from = recent[name] ?: RecentUsage(0.0, 0.0, previous?.changedAt ?: before.heartbeat)
        val seconds = increase * USAGE_UNIT_MILLISECONDS / MILLISECONDS_PER_SECOND
        recent[name] = from.plus(seconds, cell.changedAt.coerceAtLeast(from.at))
    }
    recent.values.removeIf { it.usageAt(after.heartbeat) < NEGLIGIBLE_USAGE }
    return recent
}

/** Returns the pools and queues with usage or demand in [state]; [recent] is the recent usage as of that state. */
internal fun poolUses(state: MemberState, recent: Map<CellName.Usage, RecentUsage>): List<PoolUse> {
    val demands = HashMap<CellName.Usage, Demand>()
    for (cell in state.cells) {
        val name = cell.name as? CellName.Queue ?: continue
        if (cell.value > 0) demands[CellName.Usage(name.pool, name.team)] = demandOf(cell.value)
    }
    return (recent.keys + demands.keys).map { name ->
        val usage = recent[name]
        val demand = demands[name]
        PoolUse(
            name.pool,
            name.team,
            usage?.usageAt(state.heartbeat) ?: 0.0,
            usage?.slotsAt(state.heartbeat) ?: 0.0,
            demand?.reserve ?: 0,
            demand?.waiting ?: 0,
        )
    }
}

private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Usage in slot-seconds below which recent usage is dropped; far below one unit of published usage. */
private const val NEGLIGIBLE_USAGE = 0.001
