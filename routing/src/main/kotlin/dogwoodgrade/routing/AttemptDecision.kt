package dogwoodgrade.routing

import dogwoodgrade.model.ResultCode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Instant

/** Largest number of attempts per request, the first one included. */
public const val MAX_ATTEMPTS: Int = 3

/**
 * State of a request after an attempt.
 *
 * @property attempts number of attempts so far, the one that just ended included
 * @property headForwarded whether a byte of the response head was already forwarded to the caller
 * @property mayHaveRun whether the request may have run in an earlier attempt; a refusal cannot report "not run" then
 */
public data class RequestFacts(
    public val idempotent: Boolean,
    public val deadline: Instant,
    public val attempts: Int,
    public val headForwarded: Boolean,
    public val mayHaveRun: Boolean,
)

/** Result of [RetryBudgetTable.takeRetry]. */
public enum class RetryBudgetAnswer { Granted, Exhausted }

/** What the entry does with a request after an attempt. */
public sealed interface AttemptDecision {
    /** Forwards the complete response. */
    public data object ForwardResponse : AttemptDecision

    /** Makes another attempt after [backoff], on an endpoint that was not tried before. */
    public data class Retry(public val backoff: Duration) : AttemptDecision

    /** Refuses the request with [code] and reports that it did not run. */
    public data class RefuseNotRun(public val code: ResultCode) : AttemptDecision

    /** Reports that the outcome is unknown (504). */
    public data object ReportOutcomeUnknown : AttemptDecision

    /** Resets the caller's connection, so that the caller does not take a partial response for a complete one. */
    public data object ResetCallerConnection : AttemptDecision
}

/**
 * Returns whether [decideAfterAttempt] would make another attempt if the retry budget grants it. The entry takes a
 * retry from the budget only in this case.
 */
public fun wantsRetry(facts: RequestFacts, result: AttemptResult, now: Instant): Boolean =
    !facts.headForwarded &&
        facts.attempts < MAX_ATTEMPTS &&
        now < facts.deadline &&
        when (result) {
            is AttemptResult.Complete, AttemptResult.TimedOut, AttemptResult.NotSent -> false
            AttemptResult.FailedBeforeHead, AttemptResult.Truncated -> facts.idempotent
            AttemptResult.ConnectionRefused, AttemptResult.ConnectTimedOut,
            AttemptResult.Busy, AttemptResult.NotRun,
            -> facts.idempotent || !facts.mayHaveRun
        }

/**
 * Decides what follows an attempt: the response is forwarded, the request is retried, refused or reported with an
 * unknown outcome, or the caller's connection is reset (table in `docs/design.md`, section 9).
 *
 * A non-idempotent request is retried only if every attempt proved that it did not run. [budget] is read only if
 * [wantsRetry] holds. A retry whose backoff would reach the deadline is not made.
 */
public fun decideAfterAttempt(
    facts: RequestFacts,
    result: AttemptResult,
    budget: RetryBudgetAnswer,
    now: Instant,
    random: Random,
): AttemptDecision {
    val backoff = retryBackoff(facts.attempts, random)
    return when {
        result is AttemptResult.Complete -> AttemptDecision.ForwardResponse
        facts.headForwarded -> AttemptDecision.ResetCallerConnection
        !wantsRetry(facts, result, now) -> withoutRetry(facts, result, codeWithoutRetry(facts, result, now))
        budget == RetryBudgetAnswer.Exhausted -> withoutRetry(facts, result, ResultCode.RetryBudgetExhausted)
        now + backoff >= facts.deadline -> withoutRetry(facts, result, ResultCode.DeadlineTooShort)
        else -> AttemptDecision.Retry(backoff)
    }
}

private fun codeWithoutRetry(facts: RequestFacts, result: AttemptResult, now: Instant): ResultCode =
    when {
        result == AttemptResult.NotSent -> ResultCode.Cancelled
        now >= facts.deadline -> ResultCode.DeadlineTooShort
        else -> ResultCode.NoEndpoint
    }

private fun withoutRetry(facts: RequestFacts, result: AttemptResult, code: ResultCode): AttemptDecision =
    if (result.evidence == RunEvidence.NotRun && !facts.mayHaveRun) {
        AttemptDecision.RefuseNotRun(code)
    } else {
        AttemptDecision.ReportOutcomeUnknown
    }
