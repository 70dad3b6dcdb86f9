package dogwoodgrade.shares

import kotlin.time.Instant

/** An owner with a request that can start at this entry, as a [SelectionPolicy] sees it. */
public data class OwnerCandidate(
    public val owner: QueueOwner,
    /** Recent usage at this entry divided by the owner's weight at this entry, in slot-seconds; see [ShareBalance]. */
    public val level: Double,
    /** Arrival of the first request that can start. */
    public val headArrival: Instant,
    /** Sequence number of the owner's last start at this entry; a smaller number is an earlier start. */
    public val lastStart: Long,
    /** Whether a free slot is left to a peer rather than given to this owner, which is above its share fleet-wide. */
    public val mustYield: Boolean,
)

/**
 * Chooses the owner whose request starts next, or returns `null` to leave the slot to a peer. It has to be a pure
 * function, because it is called again after the permit of the chosen team was looked up.
 */
public typealias SelectionPolicy = (candidates: List<OwnerCandidate>) -> QueueOwner?

/** Chooses the owner with the lowest level; among equal ones, the owner whose last start is the longest ago. */
public val leastUsagePerShare: SelectionPolicy = { candidates ->
    candidates
        .minWithOrNull(compareBy(OwnerCandidate::level, OwnerCandidate::lastStart))
        ?.takeUnless { it.mustYield }
        ?.owner
}

/** Chooses the owner of the request that arrived first; a baseline for comparisons. */
public val firstComeFirstServed: SelectionPolicy = { candidates -> candidates.minByOrNull { it.headArrival }?.owner }
