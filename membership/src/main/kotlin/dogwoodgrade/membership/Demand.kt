package dogwoodgrade.membership

/**
 * Demand of one queue for a pool.
 *
 * @property reserve slots of the urgent reserve in use
 * @property waiting requests that wait for a slot
 */
public data class Demand(
    public val reserve: Int,
    public val waiting: Int,
)

/**
 * Encodes this demand as the value of a cell. The number of waiting requests is rounded down to a power of
 * [WAITING_BASE], so that small changes of a queue's length take no bytes. Balancing only needs to know whether any
 * request waits.
 */
internal fun Demand.toValue(): Long {
    var magnitude = 0L
    var left = waiting
    while (left > 0) {
        magnitude++
        left /= WAITING_BASE
    }
    return reserve.coerceAtLeast(0) * MAGNITUDE_COUNT + magnitude
}

/** Decodes the [value] of a cell. A reserve above [Int.MAX_VALUE] becomes [Int.MAX_VALUE]. */
internal fun demandOf(value: Long): Demand {
    val magnitude = (value % MAGNITUDE_COUNT).toInt()
    var waiting = if (magnitude == 0) 0 else 1
    repeat(magnitude - 1) { waiting *= WAITING_BASE }
    return Demand((value / MAGNITUDE_COUNT).coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), waiting)
}

private const val WAITING_BASE = 16

/** Number of encoded magnitudes, 0 included. An [Int] has one more in base [WAITING_BASE]; no queue reaches it. */
private const val MAGNITUDE_COUNT = 8L
