package dogwoodgrade.ownership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
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

    private fun viewOf(record: OwnershipRecord, since: Long) =
        OwnershipView(record, now, now, now - since.milliseconds)

    private val weakOwner = OwnershipRecord(4, "entry-a", "life-1", resigned = false, capacity = 0.36)

    /** Guards against a fleet that is scheduled by its weakest machine because that one claimed first. */
    @Test
    fun `a weak candidate leaves the first claim to stronger ones`() {
        val view = OwnershipView(null, now, now, now - 100.milliseconds)
        assertIs<CandidateDecision.Claim>(decideClaim(view, candidate.copy(capacity = 1.5), policy, now))
        assertIs<CandidateDecision.Follow>(decideClaim(view, candidate.copy(capacity = 0.36), policy, now))
        val later = now + policy.weakCandidateDelay
        assertIs<CandidateDecision.Claim>(decideClaim(view, candidate.copy(capacity = 0.36), policy, later))
    }

    @Test
    fun `candidates as strong as the owner replace it without an additional delay`() {
        val record = weakOwner.copy(capacity = 0.75)
        val view = OwnershipView(record, now - policy.ownerTimeout - policy.maximumClaimDelay, now)
        assertIs<CandidateDecision.Claim>(decideClaim(view, candidate.copy(capacity = 0.75), policy, now))
        assertIs<CandidateDecision.Follow>(decideClaim(view, candidate.copy(capacity = 0.36), policy, now))
    }

    @Test
    fun `a much stronger candidate asks an owner that has been in place for a while to hand over`() {
        val strong = candidate.copy(capacity = 1.5)
        assertTrue(asksForHandover(viewOf(weakOwner, 1200), strong, policy, now))
        assertFalse(asksForHandover(viewOf(weakOwner, 100), strong, policy, now))
        assertFalse(asksForHandover(viewOf(weakOwner, 1200), candidate.copy(capacity = 0.5), policy, now))
        assertFalse(asksForHandover(viewOf(weakOwner.copy(resigned = true), 1200), strong, policy, now))
        assertFalse(asksForHandover(viewOf(weakOwner.copy(capacity = 0.0), 1200), strong, policy, now))
    }

    /** Guards against an owner that resigns and then claims again before its successor does. */
    @Test
    fun `the successor that an owner named claims first, the others after it has failed to`() {
        val resigned = weakOwner.copy(resigned = true, successor = "entry-b")
        val others = listOf(candidate.copy(name = "entry-c"), Candidate("entry-a", "life-1"))
        assertIs<CandidateDecision.Claim>(decideClaim(viewOf(resigned, 10), candidate, policy, now))
        for (other in others) {
            assertIs<CandidateDecision.Follow>(decideClaim(viewOf(resigned, 10), other, policy, now))
            assertIs<CandidateDecision.Claim>(decideClaim(viewOf(resigned, 1100), other, policy, now))
        }
    }

    @Test
    fun `an instance weaker than the owner follows the whole progress only when the owner is silent for long`() {
        val strong = weakOwner.copy(capacity = 1.5)
        val seenAt = now - policy.ownerTimeout - policy.summaryDelay
        val weak = candidate.copy(capacity = 0.36)
        assertFalse(followsProgress(null, weak, policy))
        assertTrue(followsProgress(OwnershipView(null, now, now), weak, policy))
        assertFalse(followsProgress(OwnershipView(strong, now - policy.ownerTimeout, now), weak, policy))
        assertTrue(followsProgress(OwnershipView(strong, seenAt, now), weak, policy))
        assertTrue(followsProgress(OwnershipView(strong, now, now), candidate.copy(capacity = 1.5), policy))
    }

    /** Guards against all weak instances reading jobs and progress at once after the store was away for seconds. */
    @Test
    fun `an instance that cannot read the log does not take the owner for silent`() {
        val view = OwnershipView(weakOwner.copy(capacity = 1.5), now - 60.seconds, now - 59.seconds)
        assertFalse(followsProgress(view, candidate.copy(capacity = 0.36), policy))
    }

    @Test
    fun `an owner stops giving orders before another one may take over`() {
        val reading = ClockReading(now, now)
        val lease = Lease(1, reading)
        assertTrue(lease.ordersUntil(policy, reading) < now + policy.ownerTimeout)
        assertTrue(grantsSettledAt(now, policy) > lease.grantsUntil(policy, reading))
    }

    /** Guards against an owner that is suspended, and measures its lease by a clock that stood still. */
    @Test
    fun `a suspended owner's lease ends no later than it would have without the suspension`() {
        val lease = Lease(1, ClockReading(now, now))
        val suspension = 4.seconds
        val resumed = ClockReading(now + 1.seconds, now + 1.seconds + suspension)
        val grantsLeft = lease.grantsUntil(policy, resumed) - resumed.monotonic
        assertTrue(resumed.timeOfDay + grantsLeft < grantsSettledAt(now, policy))
    }

    @Test
    fun `times that would let two owners give orders at the same time are rejected`() {
        assertFailsWith<IllegalArgumentException> {
            OwnershipPolicy(orderDuration = 3.seconds, ownerTimeout = 2.seconds)
        }
    }
}
