package dogwoodgrade.ownership

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * What an entry instance knows from the log.
 *
 * @property record newest ownership record, or `null` if there has never been an owner
 * @property signAt when the newest record of the owner was read
 * @property readAt when the log was last read to its end
 */
public data class OwnershipView(
    public val record: OwnershipRecord?,
    public val signAt: Instant,
    public val readAt: Instant,
)

/** The entry instance that decides. */
public data class Candidate(
    public val name: String,
    public val incarnation: String,
)

/** What an entry instance that is not the owner does. */
public sealed interface CandidateDecision {
    /** Goes on following. */
    public data object Follow : CandidateDecision

    /** Takes over with [epoch], if the log still ends where it was read to. */
    public data class Claim(
        public val epoch: Long,
        public val reason: ClaimReason,
    ) : CandidateDecision
}

/** Why an entry instance takes over. */
public enum class ClaimReason { NoOwner, OwnerResigned, OwnRestart, OwnerSilent }

/**
 * Decides whether [candidate] takes over the fleet.
 *
 * An owner that was an earlier life of the candidate's own process is known to have ended.
 */
public fun decideClaim(
    view: OwnershipView,
    candidate: Candidate,
    policy: OwnershipPolicy,
    now: Instant,
): CandidateDecision {
    val record = view.record ?: return CandidateDecision.Claim(1, ClaimReason.NoOwner)
    // A record of this life that is not resigned means that a newer one has not been read yet.
    if (record.owner == candidate.name && (record.resigned || record.incarnation != candidate.incarnation)) {
        val reason = if (record.resigned) ClaimReason.OwnerResigned else ClaimReason.OwnRestart
        return CandidateDecision.Claim(record.epoch + 1, reason)
    }
    if (record.resigned) return CandidateDecision.Claim(record.epoch + 1, ClaimReason.OwnerResigned)
    val due = view.signAt + policy.suspectAfter + spread(candidate.name, record.epoch, policy)
    // Silence proves something only if the log was read until now.
    if (now < due || now - view.readAt > policy.renewEvery) return CandidateDecision.Follow
    return CandidateDecision.Claim(record.epoch + 1, ClaimReason.OwnerSilent)
}

private fun spread(name: String, epoch: Long, policy: OwnershipPolicy): Duration {
    val steps = 8
    val step = Math.floorMod((name + epoch).hashCode(), steps)
    return policy.candidateSpread * step / steps
}

/**
 * The lease of an owner, extended by each confirmed write.
 *
 * @property epoch epoch of the owner
 * @property confirmedAt when the newest confirmed write was sent
 */
public data class Lease(
    public val epoch: Long,
    public val confirmedAt: Instant,
) {
    /** Returns when the owner has to stop giving orders. */
    public fun ordersUntil(policy: OwnershipPolicy): Instant = confirmedAt + policy.ordersFor

    /** Returns the end of the longest grant that the owner may give. */
    public fun grantsUntil(policy: OwnershipPolicy): Instant = confirmedAt + policy.grantsFor
}

/**
 * Returns when every grant of the previous owner has ended, if its last write was confirmed before [claimedAt].
 *
 * Grants are measured on executors' clocks, which may be slow.
 */
public fun grantsSettledAt(claimedAt: Instant, policy: OwnershipPolicy): Instant =
    claimedAt + policy.grantsFor * (1.0 + 2 * policy.clockError)
