package dogwoodgrade.routing

import dogwoodgrade.model.ResultCode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AttemptDecisionTest {
    private val results = listOf(
        AttemptResult.ConnectionRefused,
        AttemptResult.ConnectTimedOut,
        AttemptResult.NotSent,
        AttemptResult.Busy,
        AttemptResult.NotRun,
        AttemptResult.FailedBeforeHead,
        AttemptResult.Truncated,
        AttemptResult.TimedOut,
        AttemptResult.Complete(503),
    )
    private val first = RequestFacts(
        idempotent = true,
        deadline = START + 10.seconds,
        attempts = 1,
        headForwarded = false,
        mayHaveRun = false,
    )

    private fun decide(
        facts: RequestFacts,
        result: AttemptResult,
        budget: RetryBudgetAnswer = RetryBudgetAnswer.Granted,
        random: Random = Random(3),
    ) = decideAfterAttempt(facts, result, budget, START, random)

    @Test
    fun `the result of an attempt and idempotence decide between retry, refusal, unknown outcome and response`() {
        val retry = "Retry"
        val unknown = "ReportOutcomeUnknown"
        val expected = mapOf(
            AttemptResult.ConnectionRefused to (retry to retry),
            AttemptResult.ConnectTimedOut to (retry to retry),
            AttemptResult.Busy to (retry to retry),
            AttemptResult.NotRun to (retry to retry),
            AttemptResult.FailedBeforeHead to (retry to unknown),
            AttemptResult.TimedOut to (unknown to unknown),
            AttemptResult.Complete(503) to ("ForwardResponse" to "ForwardResponse"),
            AttemptResult.NotSent to ("RefuseNotRun" to "RefuseNotRun"),
        )
        for ((result, names) in expected) {
            assertEquals(names.first, decide(first, result)::class.simpleName, "$result, idempotent")
            val other = decide(first.copy(idempotent = false), result)
            assertEquals(names.second, other::class.simpleName, "$result, not idempotent")
        }
        for (result in listOf(AttemptResult.Truncated, AttemptResult.TimedOut)) {
            val decision = decide(first.copy(headForwarded = true), result)
            assertEquals(AttemptDecision.ResetCallerConnection, decision, "$result after the head was forwarded")
        }
    }

    @Test
    fun `a refusal has the result code of the condition that ended the attempts`() {
        val last = decide(first.copy(attempts = MAX_ATTEMPTS), AttemptResult.Busy)
        assertEquals(AttemptDecision.RefuseNotRun(ResultCode.NoEndpoint), last)
        val exhausted = decide(first, AttemptResult.Busy, RetryBudgetAnswer.Exhausted)
        assertEquals(AttemptDecision.RefuseNotRun(ResultCode.RetryBudgetExhausted), exhausted)
        val late = decide(first.copy(deadline = START), AttemptResult.Busy)
        assertEquals(AttemptDecision.RefuseNotRun(ResultCode.DeadlineTooShort), late)
        val earlierUnknown = decide(first.copy(attempts = MAX_ATTEMPTS, mayHaveRun = true), AttemptResult.Busy)
        assertEquals(AttemptDecision.ReportOutcomeUnknown, earlierUnknown)
    }

    @Property(seed = "42", tries = 2000)
    fun `a request whose bytes were sent runs again only if idempotent, and a refusal as not run is proven`(
        @ForAll idempotent: Boolean,
        @ForAll budgets: Long,
        @ForAll @IntRange(max = 8) pick1: Int,
        @ForAll @IntRange(max = 8) pick2: Int,
        @ForAll @IntRange(max = 8) pick3: Int,
    ) {
        val picks = listOf(pick1, pick2, pick3)
        var mayHaveRun = false
        for ((index, pick) in picks.withIndex()) {
            val result = results[pick]
            val facts = RequestFacts(idempotent, START + 100.milliseconds, index + 1, false, mayHaveRun)
            val budget = if (budgets shr index and 1L == 0L) RetryBudgetAnswer.Granted else RetryBudgetAnswer.Exhausted
            val decision = decide(facts, result, budget, Random(budgets))
            mayHaveRun = mayHaveRun || result.evidence != RunEvidence.NotRun
            if (decision is AttemptDecision.RefuseNotRun) assertTrue(!mayHaveRun, "$picks")
            if (decision !is AttemptDecision.Retry) return
            assertTrue(idempotent || !mayHaveRun, "retried after $picks")
            assertTrue(index + 1 < MAX_ATTEMPTS && budget == RetryBudgetAnswer.Granted)
        }
    }

    @Property(seed = "43", tries = 500)
    fun `backoff is below its bound and a retry starts before the deadline`(
        @ForAll @IntRange(min = 1, max = 40) attempts: Int,
        @ForAll @IntRange(min = 1, max = 50) milliseconds: Int,
        @ForAll seed: Long,
    ) {
        val bound = if (attempts > 6) 1.seconds else 25.milliseconds * (1 shl attempts - 1)
        assertTrue(retryBackoff(attempts, Random(seed)) in Duration.ZERO..minOf(bound, 1.seconds))
        val facts = first.copy(deadline = START + milliseconds.milliseconds)
        val decision = decide(facts, AttemptResult.Busy, random = Random(seed))
        if (decision is AttemptDecision.Retry) {
            assertTrue(START + decision.backoff < facts.deadline)
        } else {
            assertIs<AttemptDecision.RefuseNotRun>(decision)
        }
    }
}
