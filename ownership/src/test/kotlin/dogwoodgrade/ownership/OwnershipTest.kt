package dogwoodgrade.ownership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class OwnershipTest {
    private val policy = OwnershipPolicy()
    private val now = Instant.fromEpochMilliseconds(1_000_000)
    private val candidate = Candidate("entry-b", "life-2")

    private fun ownedView(by: String, ownerSeenAge: Long, logReadAge: Long = 0, resigned: Boolean = false) =
        OwnershipView(
            OwnershipRecord(4, by, "life-1", resigned),
            now - ownerSeenAge.milliseconds,
            now - logReadAge.milliseconds,
        )

    @Test
    fun `without an owner the first epoch is claimed`() {
        val view = OwnershipView(null, now, now)
        assertEquals(CandidateDecision.Claim(1, ClaimReason.NoOwner), decideClaim(view, candidate, policy, now))
    }

    @Test
    fun `an owner that writes records is followed`() {
        assertIs<CandidateDecision.Follow>(decideClaim(ownedView("entry-a", 1000), candidate, policy, now))
    }

    @Test
    fun `a silent owner is replaced with a higher epoch`() {
        val decision = decideClaim(ownedView("entry-a", 2500), candidate, policy, now)
        assertEquals(CandidateDecision.Claim(5, ClaimReason.OwnerSilent), decision)
    }

    @Test
    fun `a silent owner is not replaced while the log is not read`() {
        assertIs<CandidateDecision.Follow>(
            decideClaim(ownedView("entry-a", 9000, logReadAge = 8000), candidate, policy, now),
        )
    }

    @Test
    fun `an owner that resigned is replaced at once`() {
        val decision = decideClaim(ownedView("entry-a", 10, resigned = true), candidate, policy, now)
        assertEquals(CandidateDecision.Claim(5, ClaimReason.OwnerResigned), decision)
    }

    @Test
    fun `a restarted process replaces its earlier incarnation at once`() {
        val decision = decideClaim(ownedView("entry-b", 10), candidate, policy, now)
        assertEquals(CandidateDecision.Claim(5, ClaimReason.OwnRestart), decision)
    }

    /** Guards against claims twenty times a second by an owner that was fenced before it read the newer record. */
    @Test
    fun `an owner that was fenced waits for the newer record`() {
        val fenced = candidate.copy(incarnation = "life-1")
        assertIs<CandidateDecision.Follow>(decideClaim(ownedView("entry-b", 10), fenced, policy, now))
    }

    @Test
    fun `an owner stops giving orders before another one may take over`() {
        val lease = Lease(1, now)
        assertTrue(lease.ordersUntil(policy) < now + policy.ownerTimeout)
        assertTrue(grantsSettledAt(now, policy) > lease.grantsUntil(policy))
    }

    @Test
    fun `times that would let two owners give orders at the same time are rejected`() {
        assertFailsWith<IllegalArgumentException> {
            OwnershipPolicy(orderDuration = 3.seconds, ownerTimeout = 2.seconds)
        }
    }
}
