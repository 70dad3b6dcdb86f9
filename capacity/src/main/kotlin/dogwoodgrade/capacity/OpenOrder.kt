package dogwoodgrade.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after a confirmed order by which the list of machines shows its effect, if it had one. */
private val EFFECT_TIME: Duration = 1.seconds

/**
 * An order that ends the executor of a machine, a move or a maintenance.
 *
 * @property confirmed whether the platform has confirmed it. It also confirms an order that was executed before, by an
 * earlier owner whose record of it was lost; the executor that runs now goes on then.
 */
public data class OpenOrder(
    public val orderedAt: Instant,
    public val confirmed: Boolean,
)

/** What is known of the effect of an order. */
public enum class OrderSettlement {
    /** The order may still end the executor. */
    Open,

    /** The executor has ended. */
    Ended,

    /** The order was executed before the executor started, which goes on. */
    WithoutEffect,
}

/**
 * Returns what is known of [order].
 *
 * @param listed whether the list of machines, read after the order, shows the executor on a machine that is up
 */
public fun settlementOf(order: OpenOrder, listed: Boolean, now: Instant): OrderSettlement =
    when {
        !listed -> OrderSettlement.Ended
        order.confirmed && now - order.orderedAt >= EFFECT_TIME -> OrderSettlement.WithoutEffect
        else -> OrderSettlement.Open
    }
