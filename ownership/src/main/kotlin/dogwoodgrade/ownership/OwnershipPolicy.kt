package dogwoodgrade.ownership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Times of the ownership protocol.
 *
 * [ordersFor] must be shorter than [suspectAfter]: an owner that cannot renew stops starting work before another
 * entry instance takes over. Grants to executors may last until [grantsFor]; a new owner waits for them where an
 * executor does not answer.
 *
 * @property renewEvery pause between two renewals
 * @property ordersFor time after a confirmed renewal was sent during which the owner starts work
 * @property grantsFor time after a confirmed renewal was sent beyond which no grant extends
 * @property suspectAfter time without a sign of the owner in the log after which another may take over
 * @property candidateSpread candidates spread their attempts over this time, so that one of them is first
 * @property clockError largest relative error between two clocks
 */
public data class OwnershipPolicy(
    public val renewEvery: Duration = 300.milliseconds,
    public val ordersFor: Duration = 1000.milliseconds,
    public val grantsFor: Duration = 6000.milliseconds,
    public val suspectAfter: Duration = 1200.milliseconds,
    public val candidateSpread: Duration = 150.milliseconds,
    public val clockError: Double = 0.02,
) {
    init {
        require(renewEvery < ordersFor) { "renewEvery $renewEvery is not below ordersFor $ordersFor" }
        require(ordersFor < suspectAfter) { "ordersFor $ordersFor is not below suspectAfter $suspectAfter" }
        require(ordersFor <= grantsFor) { "ordersFor $ordersFor is above grantsFor $grantsFor" }
    }
}
