package dogwoodgrade.measure

import kotlin.math.ln
import kotlin.random.Random

/**
 * Demand of [queues] queues relative to their means: each queue in turn has [burstFactor] times its mean demand for
 * [burstMilliseconds], and [idleFactor] times its mean in between.
 */
internal data class BurstDemand(
    val queues: Int,
    val burstMilliseconds: Long,
    val burstFactor: Double = 5.0,
    val idleFactor: Double = 0.05,
) {
    /** Returns the demand of [queue] relative to its mean at the virtual time [milliseconds]. */
    fun factor(queue: Int, milliseconds: Long): Double =
        if (milliseconds / burstMilliseconds % queues == queue.toLong()) burstFactor else idleFactor
}

/** Returns an exponentially distributed time with [mean], in milliseconds; at least 1 ms. */
internal fun Random.nextExponential(mean: Double): Long = (-ln(1 - nextDouble()) * mean).toLong().coerceAtLeast(1)

/** Returns a random index of [weights], with a probability proportional to its weight. */
internal fun Random.nextWeightedIndex(weights: List<Double>): Int {
    var remaining = nextDouble() * weights.sum()
    for ((index, weight) in weights.withIndex()) {
        remaining -= weight
        if (remaining < 0) return index
    }
    return weights.lastIndex
}
