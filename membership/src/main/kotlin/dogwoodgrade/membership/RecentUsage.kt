package dogwoodgrade.membership

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.TeamName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/*
 * Members publish sums that only grow. Recent usage is derived from them in the time of the member's heartbeats, so
 * that it does not depend on the path or the delay of the messages.
 */

/** Time constant of the exponential decay of recent usage, as in the fair queues. */
internal val UsageTimeConstant: Duration = 5.seconds

/**
 * Use of [pool] by [team], or by the open queues if `null`, as a member published it: decayed [usage] in slot-seconds,
 * [slots] in use averaged over its last change, slots of the urgent [reserve] in use, and [waiting] requests.
 */
public data class PoolUse(
    public val pool: PoolName,
    public val team: TeamName?,
    public val usage: Double,
    public val slots: Double,
    public val reserve: Int,
    public val waiting: Int,
)

/** Slot time that a member used recently, in slot-seconds decayed until the heartbeat [at], at [slots] up to then. */
internal data class RecentUsage(val usage: Double, val slots: Double, val at: Long) {
    /** Slots that are assumed to be in use at [heartbeat]; a sum that stands still for longer is of an idle owner. */
    fun slotsAt(heartbeat: Long): Double = if (heartbeat - at < LONGEST_SPREAD) slots else 0.0

    /** Usage at [heartbeat], with the slots in use until then that the sum does not contain yet. */
    fun usageAt(heartbeat: Long): Double = decayed(heartbeat) + accrued(slotsAt(heartbeat), heartbeat - at)

    /** Usage after the sum has grown by [increase] slot-seconds, first known at [heartbeat]. */
    fun plus(increase: Double, heartbeat: Long): RecentUsage {
        val spread = (heartbeat - at).coerceIn(1, LONGEST_SPREAD)
        val slots = increase / spread
        return RecentUsage(decayed(heartbeat) + accrued(slots, spread), slots, maxOf(heartbeat, at))
    }

    private fun decayed(heartbeat: Long): Double = usage * exp(-elapsed(heartbeat - at))

    private fun accrued(slots: Double, heartbeats: Long): Double =
        slots * (1 - exp(-elapsed(heartbeats))) * (UsageTimeConstant / HeartbeatInterval)

    private fun elapsed(heartbeats: Long): Double =
        HeartbeatInterval * heartbeats.coerceAtLeast(0).toInt() / UsageTimeConstant

    private companion object {
        /** Heartbeats that the byte budget may hold an increase back for; older idle time is not spread over. */
        const val LONGEST_SPREAD = 3L
    }
}

/** Time between two heartbeats of a member. */
internal val HeartbeatInterval: Duration = 1.seconds

/**
 * Returns the recent usage with [after], given that [held] belongs to [before]. The first state of an incarnation is
 * only a baseline: its sums may have grown over hours.
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
        // A sum that was not known before began to grow no earlier than the previous state.
        val from = recent[name] ?: RecentUsage(0.0, 0.0, previous?.changedAt ?: before.heartbeat)
        val seconds = increase * USAGE_UNIT_MILLISECONDS / MILLISECONDS_PER_SECOND
        recent[name] = from.plus(seconds, cell.changedAt.coerceAtLeast(from.at))
    }
    recent.values.removeIf { it.usageAt(after.heartbeat) < NEGLIGIBLE_USAGE }
    return recent
}

/** Returns the rows of [state] that are not zero, with the [recent] usage that belongs to it. */
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

/** Recent usage below this, in slot-seconds, is dropped; it is far below one unit of published usage. */
private const val NEGLIGIBLE_USAGE = 0.001
