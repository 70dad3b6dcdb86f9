package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PeerChoiceTest {
    private val zones = listOf("a", "b", "c").map(::AvailabilityZone)

    /** Nine entries, three per zone. */
    private val fleet = (0 until 9).map { PeerCandidate(PeerAddress("127.0.0.1", 1_000 + it), zones[it % 3], true) }

    private fun chosen(own: PeerCandidate, round: Long, from: List<PeerCandidate> = fleet) =
        choosePeers(from, own.address, checkNotNull(own.zone), round)

    /** Guards against a zone that exchanges no state with other zones, or none among its own entries. */
    @Test
    fun `each round has a peer in the own zone and one elsewhere and the rotation reaches all`() {
        val zoneOf = fleet.associate { it.address to it.zone }
        for (own in fleet) {
            val rounds = (0L until 6L).map { chosen(own, it) }
            assertTrue(rounds.all { (local, remote) -> zoneOf[local] == own.zone && zoneOf[remote] != own.zone })
            assertEquals(fleet.map { it.address }.toSet() - own.address, rounds.flatten().toSet())
        }
    }

    /** Guards against a peer that all other entries choose in the same round. */
    @Test
    fun `entries in the same round choose different peers of their zone`() {
        assertEquals(9, fleet.map { chosen(it, 4).first() }.distinct().size)
    }

    /** Guards against two sides of a partition that never exchange state again after it has ended. */
    @Test
    fun `peers that are not alive are tried every eighth round or when nobody else is left`() {
        val lost = fleet[4].copy(isAlive = false)
        val candidates = fleet - fleet[4] + lost
        assertEquals(listOf(7L, 15L), (0L until 16L).filter { lost.address in chosen(fleet[0], it, candidates) })
        assertEquals(listOf(lost.address), chosen(fleet[0], 0, listOf(lost)))
        assertEquals(2, chosen(fleet[0], 0, fleet.filter { it.zone != zones[0] }).size)
    }
}
