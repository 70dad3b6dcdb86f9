package dogwoodgrade.ownership

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * What an entry instance has learned from the log about the owner.
 *
 * @property record newest ownership record, or `null` if there has never been an owner
 * @property ownerSeenAt time at which the newest record of the owner was read
 * @property logReadAt time at which the log was last read to its end
 */
public data class OwnershipView(
    public val record: OwnershipRecord?,
    public val ownerSeenAt: Instant,
    public val logReadAt: Instant,
)

/** An entry instance that may take over. */
public data class Candidate(
    public val name: String,
    public val incarnation: String,
)

/** Decision of an entry instance that is not the owner. */
public sealed interface CandidateDecision {
    /** Keeps following the log without a claim. */
    public data object Follow : CandidateDecision

    /** Claims ownership with [epoch], provided that nothing was appended to the log since it was read. */
    public data class Claim(
        public val epoch: Long,
        public val reason: ClaimReason,
    ) : CandidateDecision
}

/** Reason for which an entry instance takes over. */
public enum class ClaimReason { NoOwner, OwnerResigned, OwnRestart, OwnerSilent }

/**
 * Decides whether [candidate] takes over the fleet.
 *
 * An owner that was an earlier incarnation of the candidate is known to have ended.
 */
public fun decideClaim(
    view: OwnershipView,
    candidate: Candidate,
    policy: OwnershipPolicy,
    now: Instant,
): CandidateDecision {
    val record = view.record ?: return CandidateDecision.Claim(1, ClaimReason.NoOwner)
    // A record of this incarnation that is not resigned means that a newer record has not been read yet.
    if (record.owner == candidate.name && (record.resigned || record.incarnation != candidate.incarnation)) {
        val reason = if (record.resigned) ClaimReason.OwnerResigned else ClaimReason.OwnRestart
        return CandidateDecision.Claim(record.epoch + 1, reason)
    }
    if (record.resigned) return CandidateDecision.Claim(record.epoch + 1, ClaimReason.OwnerResigned)
    val claimableAt = view.ownerSeenAt + policy.ownerTimeout + claimDelay(candidate.name, record.epoch, policy)
    // The absence of owner records is evidence only if the log was recently read to its end.
    if (now < claimableAt || now - view.logReadAt > policy.renewalInterval) return CandidateDecision.Follow
    return CandidateDecision.Claim(record.epoch + 1, ClaimReason.OwnerSilent)
}

/** Returns a delay that differs between candidates, so that they do not claim at the same time. */
private fun claimDelay(name: String, epoch: Long, policy: OwnershipPolicy): Duration {
    val steps = 8
    val step = Math.floorMod((name + epoch).hashCode(), steps)
    return policy.maximumClaimDelay * step / steps
}

/**
 * The lease of an owner, extended by each confirmed write.
 *
 * @property epoch epoch of the owner
 * @property confirmedAt time at which the newest confirmed write was sent
 */
public data class Lease(
    public val epoch: Long,
    public val confirmedAt: Instant,
) {
    /** Returns the time from which the owner must not give orders. */
    public fun ordersUntil(policy: OwnershipPolicy): Instant = confirmedAt + policy.orderDuration

    /** Returns the latest time at which a grant of the owner may end. */
    public fun grantsUntil(policy: OwnershipPolicy): Instant = confirmedAt + policy.maximumGrantDuration
}

/**
 * Returns the time at which every grant of the previous owner has ended, if its last write was confirmed before
 * [claimedAt]. Executors measure grants on their own clocks, which may be slow.
 */
public fun grantsSettledAt(claimedAt: Instant, policy: OwnershipPolicy): Instant =
    claimedAt + policy.maximumGrantDuration * (1.0 + 2 * policy.maximumClockDrift)
