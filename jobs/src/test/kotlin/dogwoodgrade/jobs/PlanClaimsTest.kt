package dogwoodgrade.jobs

import dogwoodgrade.jobs.JobChange.Accept
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.TeamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class PlanClaimsTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val live = (1..8).map { entry(it) }
    private val ledger =
        (1..80).fold(JobLedger.Empty) { current, number -> current.accept(Accept(request("j$number"))) }

    private fun situation(number: Int, of: JobLedger = ledger) =
        ClaimContext(
            entry(number),
            live,
            updateWaitingSince(emptyMap(), of, start),
            { 100 },
            { _, _ -> true },
            maximumClaims = 100,
        )

    private fun planned(after: Duration, planner: ClaimPlanner = ::planClaims) =
        (1..8).flatMap { planner(ledger, situation(it), start + after) }

    @Test
    fun `entries with the same view never claim the same job at first`() {
        val claims = planned(Duration.ZERO)
        assertEquals(80, claims.size)
        assertEquals(80, claims.distinctBy { it.job }.size)
        assertTrue(claims.groupBy { it.holder }.size >= 6, "the hash leaves entries without work")
        assertEquals(640, planned(Duration.ZERO, ::planUncoordinatedClaims).size)
    }

    @Test
    fun `one remaining entry claims every job within the bounded number of steps`() {
        assertEquals(80, planClaims(ledger, situation(5), start + CLAIM_STEP * MAX_CLAIM_STEPS).size)
    }

    @Test
    fun `urgent jobs are claimed within 1600 ms by any remaining entry`() {
        val urgent =
            (1..20).fold(JobLedger.Empty) { current, number ->
                current.accept(Accept(request("u$number", requestClass = RequestClass.Urgent)))
            }
        assertEquals(20, planClaims(urgent, situation(3, urgent), start + 1_600.milliseconds).size)
    }

    @Test
    fun `claims respect free slots, the team's predicate and pending claims`() {
        val later = start + CLAIM_STEP * MAX_CLAIM_STEPS
        val open = situation(1)
        assertEquals(3, planClaims(ledger, open.copy(freeSlots = { 3 }), later).size)
        assertEquals(2, planClaims(ledger, open.copy(mayStart = { _, planned -> planned < 2 }), later).size)
        assertEquals(0, planClaims(ledger, open.copy(pending = ledger.unfinished.keys), later).size)
    }

    @Test
    fun `the burst of one team does not delay the job of another`() {
        val mixed = ledger.accept(Accept(request("late", team = "other")))
        val claims =
            planClaims(mixed, situation(1, mixed).copy(maximumClaims = 2), start + CLAIM_STEP * MAX_CLAIM_STEPS)
        assertEquals(
            setOf(TeamName("curators"), TeamName("other")),
            claims
                .map {
                    mixed.unfinished
                        .getValue(it.job)
                        .request.team
                }.toSet(),
        )
    }
}
