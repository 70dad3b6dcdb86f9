package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone

/** A peer address from the settings or from gossip. [zone] is `null` if the settings do not state it. */
public data class PeerCandidate(
    public val address: PeerAddress,
    public val zone: AvailabilityZone?,
    public val isAlive: Boolean,
)

/**
 * Chooses the peers of a gossip [round]: one in the entry's own zone and one in another zone, or two from one of these
 * groups if the other group is empty.
 *
 * Each group is a ring sorted by address, and an entry starts from its own position in it, so that entries in the same
 * round choose different peers. Every eighth round goes to peers that are not alive, if there are any, so that the two
 * sides of a network partition find each other again when it ends.
 */
public fun choosePeers(
    candidates: List<PeerCandidate>,
    own: PeerAddress,
    ownZone: AvailabilityZone,
    round: Long,
): List<PeerAddress> {
    val (sameZone, otherZones) =
        candidates.filter { it.address != own }.distinctBy { it.address }.partition { it.zone == ownZone }
    val sameZoneRing = ringOf(sameZone, own, round)
    val otherZonesRing = ringOf(otherZones, own, round)
    return when {
        sameZoneRing.isEmpty() -> otherZonesRing.take(PEERS_PER_ROUND)
        otherZonesRing.isEmpty() -> sameZoneRing.take(PEERS_PER_ROUND)
        else -> listOf(sameZoneRing.first(), otherZonesRing.first())
    }
}

private fun ringOf(group: List<PeerCandidate>, own: PeerAddress, round: Long): List<PeerAddress> {
    val (alive, others) = group.partition { it.isAlive }
    val retry = others.isNotEmpty() && round % RETRY_EVERY_ROUNDS == RETRY_EVERY_ROUNDS - 1
    val ring = (if (retry || alive.isEmpty()) others else alive).map { it.address }.sorted()
    if (ring.isEmpty()) return ring
    // Every eighth round is a retry. Retries are numbered separately, so that their rotation skips no peer.
    val step = if (retry) round / RETRY_EVERY_ROUNDS else round
    val start = ((ring.count { it < own } + step) % ring.size).toInt()
    return ring.drop(start) + ring.take(start)
}

/** Number of peers that an entry exchanges state with in each round. */
public const val PEERS_PER_ROUND: Int = 2

private const val RETRY_EVERY_ROUNDS = 8L
