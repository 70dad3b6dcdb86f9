package dogwoodgrade.ownership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Times of the ownership protocol.
 *
 * [orderDuration] must be shorter than [ownerTimeout], so that an owner that cannot renew stops starting work before
 * another entry instance takes over. Grants to executors may last for [maximumGrantDuration]; a new owner waits for
 * their end on executors that do not answer.
 *
 * @property renewalInterval time between two renewals
 * @property orderDuration time after a confirmed renewal was sent for which the owner may start work
 * @property maximumGrantDuration time after a confirmed renewal was sent at which every grant must have ended
 * @property ownerTimeout time without a record of the owner in the log after which another instance may take over
 * @property maximumClaimDelay range of the delays by which candidates spread their claims, so that one of them is first
 * @property weakCandidateDelay longest additional delay of a candidate that is weaker than the owner, or that has less
 * than a core if there is no owner
 * @property successorDelay time for which the other candidates leave the claim to the successor that an owner named
 * @property handoverRatio ratio of its processor cores to the owner's from which a candidate asks for a handover
 * @property handoverDelay time for which an owner is left in place before a stronger candidate asks for a handover
 * @property summaryDelay additional silence of the owner after which an instance that reads only the summary of its
 * progress reads all of it
 * @property maximumClockDrift largest relative error between the rates of two clocks
 */
public data class OwnershipPolicy(
    public val renewalInterval: Duration = 300.milliseconds,
    public val orderDuration: Duration = 1000.milliseconds,
    public val maximumGrantDuration: Duration = 6000.milliseconds,
    public val ownerTimeout: Duration = 1200.milliseconds,
    public val maximumClaimDelay: Duration = 150.milliseconds,
    public val weakCandidateDelay: Duration = 400.milliseconds,
    public val successorDelay: Duration = 600.milliseconds,
    public val handoverRatio: Double = 1.5,
    public val handoverDelay: Duration = 1000.milliseconds,
    public val summaryDelay: Duration = 1000.milliseconds,
    public val maximumClockDrift: Double = 0.02,
) {
    init {
        require(renewalInterval < orderDuration) {
            "renewal interval $renewalInterval is not below order duration $orderDuration"
        }
        require(orderDuration < ownerTimeout) {
            "order duration $orderDuration is not below owner timeout $ownerTimeout"
        }
        require(orderDuration <= maximumGrantDuration) {
            "order duration $orderDuration is above grant duration $maximumGrantDuration"
        }
    }
}
