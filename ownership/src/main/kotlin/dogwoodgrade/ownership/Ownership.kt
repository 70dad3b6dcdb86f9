package dogwoodgrade.ownership

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * What an entry instance has learned from the log about the owner.
 *
 * @property record newest ownership record, or `null` if there has never been an owner
 * @property ownerSeenAt time at which the newest record of the owner was read
 * @property logReadAt time at which the log was last read to its end
 * @property recordSince time at which the owner of [record] was first read, or at which the log was first read
 */
public data class OwnershipView(
    public val record: OwnershipRecord?,
    public val ownerSeenAt: Instant,
    public val logReadAt: Instant,
    public val recordSince: Instant = ownerSeenAt,
)

/**
 * An entry instance that may take over.
 *
 * @property capacity processor cores that its machine gives it
 */
public data class Candidate(
    public val name: String,
    public val incarnation: String,
    public val capacity: Double = 1.0,
)

/**
 * Request of [candidate] that the owner of [epoch] resigns in its favour, because it has more processor cores. The
 * owner's decisions for the whole fleet have to fit into its machine.
 */
public data class HandoverRequest(
    public val epoch: Long,
    public val candidate: String,
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
 * An owner that was an earlier incarnation of the candidate is known to have ended. Weaker candidates wait, so that a
 * stronger one is first.
 */
public fun decideClaim(
    view: OwnershipView,
    candidate: Candidate,
    policy: OwnershipPolicy,
    now: Instant,
): CandidateDecision {
    val record = view.record
    if (record == null) {
        val claimableAt = view.recordSince + weaknessDelay(candidate.capacity, 1.0, policy)
        return if (now < claimableAt) CandidateDecision.Follow else CandidateDecision.Claim(1, ClaimReason.NoOwner)
    }
    val claim = { reason: ClaimReason -> CandidateDecision.Claim(record.epoch + 1, reason) }
    // A record of this incarnation that is not resigned means that a newer record has not been read yet.
    val ownRestart = record.owner == candidate.name && record.incarnation != candidate.incarnation
    if (ownRestart && !record.resigned) return claim(ClaimReason.OwnRestart)
    if (record.resigned) {
        val claimableAt = view.recordSince + resignationDelay(record, candidate, policy)
        return if (now < claimableAt) CandidateDecision.Follow else claim(ClaimReason.OwnerResigned)
    }
    val claimableAt =
        view.ownerSeenAt + policy.ownerTimeout + claimDelay(candidate.name, record.epoch, policy) +
            weaknessDelay(candidate.capacity, record.capacity, policy)
    // The absence of owner records is evidence only if the log was recently read to its end.
    if (now < claimableAt || now - view.logReadAt > policy.renewalInterval) return CandidateDecision.Follow
    return claim(ClaimReason.OwnerSilent)
}

/**
 * Returns whether [candidate] reads the whole progress, without which it cannot take over, or only its summary.
 *
 * The whole progress exceeds what the link of a weak machine carries. Such an instance reads it only if no stronger one
 * has taken over from a silent owner. An instance that cannot read the log does not know whether the owner is silent.
 *
 * @param view what is known of the owner from either of them, or `null` before the summary has been read
 */
public fun followsProgress(
    view: OwnershipView?,
    candidate: Candidate,
    policy: OwnershipPolicy,
): Boolean {
    if (view == null) return false
    val record = view.record ?: return true
    // The absence of owner records is evidence only if the log was read to its end.
    val silence = view.logReadAt - view.ownerSeenAt
    return candidate.capacity >= record.capacity || silence >= policy.ownerTimeout + policy.summaryDelay
}

/** Returns whether [candidate] asks the owner to resign in its favour. */
public fun asksForHandover(
    view: OwnershipView,
    candidate: Candidate,
    policy: OwnershipPolicy,
    now: Instant,
): Boolean {
    val record = view.record ?: return false
    val stronger = record.capacity > 0 && candidate.capacity >= record.capacity * policy.handoverRatio
    val due = view.recordSince + policy.handoverDelay + claimDelay(candidate.name, record.epoch, policy)
    return stronger && !record.resigned && now >= due
}

/** Returns how long a candidate waits after a resignation. A named successor that does not claim has ended. */
private fun resignationDelay(record: OwnershipRecord, candidate: Candidate, policy: OwnershipPolicy): Duration =
    when (record.successor) {
        candidate.name -> Duration.ZERO
        null -> weaknessDelay(candidate.capacity, record.capacity, policy)
        else -> policy.successorDelay + weaknessDelay(candidate.capacity, record.capacity, policy)
    }

/** Returns a delay that rises with the lack of [capacity] compared with [reference]; 0 stands for an unknown one. */
private fun weaknessDelay(capacity: Double, reference: Double, policy: OwnershipPolicy): Duration =
    if (reference <= 0) Duration.ZERO else policy.weakCandidateDelay * (1 - capacity / reference).coerceIn(0.0, 1.0)

/** Returns a delay that differs between candidates, so that they do not claim at the same time. */
private fun claimDelay(name: String, epoch: Long, policy: OwnershipPolicy): Duration {
    val steps = 8
    val step = Math.floorMod((name + epoch).hashCode(), steps)
    return policy.maximumClaimDelay * step / steps
}

/**
 * Readings of the monotonic clock and of the time of day at one moment. The monotonic clock does not advance while the
 * machine is suspended.
 */
public data class ClockReading(
    public val monotonic: Instant,
    public val timeOfDay: Instant,
) {
    /** Returns the time that has passed since [earlier], including suspensions. */
    public fun elapsedSince(earlier: ClockReading): Duration =
        monotonic - earlier.monotonic + suspensionSince(earlier)

    /** Returns what the time of day has advanced since [earlier] beyond the monotonic clock. */
    internal fun suspensionSince(earlier: ClockReading): Duration {
        val elapsed = monotonic - earlier.monotonic
        return (timeOfDay - earlier.timeOfDay - elapsed).coerceAtLeast(Duration.ZERO)
    }
}

/**
 * The lease of an owner, extended by each confirmed write.
 *
 * It is measured on the monotonic clock. What the time of day has advanced beyond that counts as well: the machine was
 * suspended, perhaps while the confirmation was on its way.
 *
 * @property epoch epoch of the owner
 * @property confirmedAt time at which the newest confirmed write was sent
 */
public data class Lease(
    public val epoch: Long,
    public val confirmedAt: ClockReading,
) {
    /** Returns the time on the monotonic clock from which the owner must not give orders. */
    public fun ordersUntil(policy: OwnershipPolicy, now: ClockReading): Instant =
        confirmedAt.monotonic + policy.orderDuration - now.suspensionSince(confirmedAt)

    /** Returns the latest time on the monotonic clock at which a grant of the owner may end. */
    public fun grantsUntil(policy: OwnershipPolicy, now: ClockReading): Instant =
        confirmedAt.monotonic + policy.maximumGrantDuration - now.suspensionSince(confirmedAt)
}

/**
 * Returns the time at which every grant of the previous owner has ended, if its last write was confirmed before
 * [claimedAt]. Executors measure grants on their own clocks, which may be slow.
 */
public fun grantsSettledAt(claimedAt: Instant, policy: OwnershipPolicy): Instant =
    claimedAt + policy.maximumGrantDuration * (1.0 + 2 * policy.maximumClockDrift)
