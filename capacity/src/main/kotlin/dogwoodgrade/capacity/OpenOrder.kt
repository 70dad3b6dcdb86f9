package dogwoodgrade.capacity

import dogwoodgrade.scheduling.ExecutorIdentifier
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after a confirmed order by which the list of machines shows its effect, if it had one. */
private val EFFECT_TIME: Duration = 1.seconds

/**
 * An order that ends the executor of a machine, a move or a maintenance.
 *
 * @property machine name of the machine
 * @property confirmed whether the platform has confirmed it. It also confirms an order that was executed before, by an
 * earlier owner whose record of it was lost; the executor that runs now goes on then.
 */
public data class OpenOrder(
    public val machine: String,
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
 * Returns what is known of [order], which ends [executor].
 *
 * @param machine the machine in a list that was read after the order, or `null` if the list lacks it, which proves
 * nothing: the pages of a list are read one after the other
 */
public fun settlementOf(
    order: OpenOrder,
    executor: ExecutorIdentifier,
    machine: Machine?,
    now: Instant,
): OrderSettlement =
    when {
        machine != null && hasEnded(executor, machine) -> OrderSettlement.Ended
        order.confirmed && now - order.orderedAt >= EFFECT_TIME -> OrderSettlement.WithoutEffect
        else -> OrderSettlement.Open
    }

/** Returns whether [machine] shows that [executor] has ended on it. A machine that is down may be cut off only. */
private fun hasEnded(executor: ExecutorIdentifier, machine: Machine): Boolean =
    machine.executor != executor || machine.state == MachineState.Moving || machine.state == MachineState.Maintenance
