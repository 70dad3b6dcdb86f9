package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone

/** A peer address from the settings or from gossip; the [zone] of a settings address may be unknown. */
public data class PeerCandidate(
    public val address: PeerAddress,
    public val zone: AvailabilityZone?,
    public val isAlive: Boolean,
)

/**
 * Chooses the peers of a gossip [round]: one in the own zone and one elsewhere, or two from one side if the other is
 * empty.
 *
 * Each side is a ring sorted by address, and an entry counts from its own place in it. Entries that tick together
 * therefore choose different peers. Every eighth round goes to peers that are not alive, if there are any, so that
 * the two sides of a healed partition find each other again.
 */
public fun choosePeers(
    candidates: List<PeerCandidate>,
    own: PeerAddress,
    ownZone: AvailabilityZone,
    round: Long,
): List<PeerAddress> {
    val (near, far) = candidates.filter { it.address != own }.distinctBy { it.address }.partition { it.zone == ownZone }
    val nearRing = ringOf(near, own, round)
    val farRing = ringOf(far, own, round)
    return when {
        nearRing.isEmpty() -> farRing.take(PEERS_PER_ROUND)
        farRing.isEmpty() -> nearRing.take(PEERS_PER_ROUND)
        else -> listOf(nearRing.first(), farRing.first())
    }
}

private fun ringOf(side: List<PeerCandidate>, own: PeerAddress, round: Long): List<PeerAddress> {
    val (alive, others) = side.partition { it.isAlive }
    val retry = others.isNotEmpty() && round % RETRY_EVERY_ROUNDS == RETRY_EVERY_ROUNDS - 1
    val ring = (if (retry || alive.isEmpty()) others else alive).map { it.address }.sorted()
    if (ring.isEmpty()) return ring
    // Retry rounds are a fixed part of all rounds; counting them apart keeps their rotation free of gaps.
    val step = if (retry) round / RETRY_EVERY_ROUNDS else round
    val start = ((ring.count { it < own } + step) % ring.size).toInt()
    return ring.drop(start) + ring.take(start)
}

/** Peers that an entry exchanges state with in each round. */
public const val PEERS_PER_ROUND: Int = 2

private const val RETRY_EVERY_ROUNDS = 8L
