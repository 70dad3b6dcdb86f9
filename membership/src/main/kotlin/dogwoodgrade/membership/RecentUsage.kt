package dogwoodgrade.membership

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time constant of the exponential decay of recent usage, as in the fair queues. */
internal val UsageTimeConstant: Duration = 5.seconds

/** Slot time that a peer used recently, in milliseconds, decayed until [at]. */
internal data class RecentUsage(val milliseconds: Double, val at: Instant) {
    fun decayedTo(now: Instant): Double =
        if (now <= at) milliseconds else milliseconds * exp(-((now - at) / UsageTimeConstant))

    fun plus(increase: Long, now: Instant): RecentUsage = RecentUsage(decayedTo(now) + increase, maxOf(now, at))
}

/**
 * Returns how much each usage grew from [before] to [after], in milliseconds. The first state of an incarnation is
 * only a baseline: its sums may have grown over hours.
 */
internal fun usageIncreases(before: MemberState?, after: MemberState): Map<CellName.Usage, Long> {
    if (before == null || before.key != after.key) return emptyMap()
    val increases = HashMap<CellName.Usage, Long>()
    after.cells.forEachIndexed { index, cell ->
        val name = cell.name as? CellName.Usage ?: return@forEachIndexed
        val previous = before.cells
            .getOrNull(index)
            ?.takeIf { it.name == name }
            ?.value ?: 0
        if (cell.value > previous) increases[name] = (cell.value - previous) * USAGE_UNIT_MILLISECONDS
    }
    return increases
}
