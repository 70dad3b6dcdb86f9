package dogwoodgrade.measure

import kotlin.math.ln
import kotlin.random.Random

/**
 * Demand of [queues] queues relative to their mean: each in turn asks for [high] times its mean for
 * [burstMilliseconds], and for [low] times its mean in between.
 */
internal data class BurstDemand(
    val queues: Int,
    val burstMilliseconds: Long,
    val high: Double = 5.0,
    val low: Double = 0.05,
) {
    /** Returns the factor of [queue] at a virtual time. */
    fun factor(queue: Int, milliseconds: Long): Double =
        if (milliseconds / burstMilliseconds % queues == queue.toLong()) high else low
}

/** Returns an exponentially distributed time with [mean], at least 1 ms. */
internal fun Random.exponential(mean: Double): Long = (-ln(1 - nextDouble()) * mean).toLong().coerceAtLeast(1)

/** Returns an index, chosen with a probability in proportion to its weight. */
internal fun Random.weighted(weights: List<Double>): Int {
    var left = nextDouble() * weights.sum()
    for ((index, weight) in weights.withIndex()) {
        left -= weight
        if (left < 0) return index
    }
    return weights.lastIndex
}
