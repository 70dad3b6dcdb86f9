package dogwoodgrade.shares

import kotlin.time.Instant

/** What a [SelectionPolicy] knows of an owner whose requests wait at this entry. */
public data class OwnerStanding(
    public val owner: QueueOwner,
    /** Recent usage at this entry divided by the owner's weight here, in slot-seconds; see [ShareBalance]. */
    public val level: Double,
    /** Arrival of the first request that can start. */
    public val headArrival: Instant,
    /** Number of the owner's last start at this entry; smaller is longer ago. */
    public val lastStart: Long,
    /** Whether the owner is above its share fleet-wide and this entry is to leave a slot to a peer. */
    public val givesWay: Boolean,
)

/**
 * Chooses the owner whose request starts next, or `null` to leave the slot to a peer. It is a pure function, because it
 * is called again when the permit of the chosen team has been asked for.
 */
public typealias SelectionPolicy = (standings: List<OwnerStanding>) -> QueueOwner?

/** Chooses the owner with the smallest usage per weight; of equal owners, the one that has not started for longest. */
public val LeastUsagePerShare: SelectionPolicy = { standings ->
    standings
        .minWithOrNull(compareBy(OwnerStanding::level, OwnerStanding::lastStart))
        ?.takeUnless { it.givesWay }
        ?.owner
}

/** Chooses the owner of the request that arrived first; the baseline of measurements. */
public val FirstComeFirstServed: SelectionPolicy = { standings -> standings.minByOrNull { it.headArrival }?.owner }
