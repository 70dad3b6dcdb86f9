package dogwoodgrade.membership

/** Slots of the urgent reserve that an owner uses in a pool, and its requests that wait for a slot. */
public data class Demand(
    public val reserve: Int,
    public val waiting: Int,
)

/**
 * Returns the value of a cell. The number of waiting requests is rounded down to a power of [WAITING_BASE], so that it
 * costs no bytes while a queue only varies in length; balancing needs to know whether anything waits.
 */
internal fun Demand.toValue(): Long {
    var magnitude = 0L
    var left = waiting
    while (left > 0) {
        magnitude++
        left /= WAITING_BASE
    }
    return reserve.coerceAtLeast(0) * MAGNITUDES + magnitude
}

/** Returns the demand that the value of a cell stands for; values out of range give the largest possible demand. */
internal fun demandOf(value: Long): Demand {
    val magnitude = (value % MAGNITUDES).toInt()
    var waiting = if (magnitude == 0) 0 else 1
    repeat(magnitude - 1) { waiting *= WAITING_BASE }
    return Demand((value / MAGNITUDES).coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), waiting)
}

private const val WAITING_BASE = 16

/** Number of magnitudes of an [Int] by [WAITING_BASE], 0 included, less one that no queue bound reaches. */
private const val MAGNITUDES = 8L
