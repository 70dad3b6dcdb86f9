package dogwoodgrade.entry

import dogwoodgrade.model.Execution
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.AttemptDecision
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.RequestFacts
import dogwoodgrade.routing.Reservation
import dogwoodgrade.routing.RetryBudgetAnswer
import dogwoodgrade.routing.RunEvidence
import dogwoodgrade.routing.decideAfterAttempt
import dogwoodgrade.routing.wantsRetry
import dogwoodgrade.shares.OfferResult
import dogwoodgrade.shares.RunEnd
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Handles the end of attempts: frees the slot, settles the permit, and answers or retries the call. */
internal class AttemptHandler(
    private val tables: EntryTables,
    private val functions: DispatcherFunctions,
    private val finisher: CallFinisher,
    private val starter: CallStarter,
) {
    /** Records the result of an attempt that has ended, and decides whether to retry. */
    fun handleEnd(call: Call, event: EntryEvent.AttemptEnded) {
        val now = functions.now()
        val result = event.end.result
        tables.endpoints.finish(event.reservation, result, now)
        call.team?.let { settlePermit(it, result, event.reservation, now) }
        when (result) {
            AttemptResult.NotSent, AttemptResult.Busy -> finisher.requeue(call, now)
            else -> decide(call, event, now)
        }
        starter.dispatch(call.pool)
    }

    /** Releases the permit, or keeps it until the lease has expired at the worker if the task may still run. */
    private fun settlePermit(team: TeamName, result: AttemptResult, reservation: Reservation, now: Instant) {
        val remaining = reservation.leaseUntil + MAX_WORKER_CLOCK_SKEW - now
        if (result.evidence == RunEvidence.Unknown && remaining.isPositive()) {
            functions.postLater(remaining, EntryEvent.LeaseExpired(team))
        } else {
            finisher.releasePermit(team)
        }
    }

    private fun decide(call: Call, event: EntryEvent.AttemptEnded, now: Instant) {
        val result = event.end.result
        val next =
            call.copy(
                tried = call.tried + event.reservation.endpoint.instance,
                attempts = call.attempts + 1,
            )
        val facts =
            RequestFacts(
                call.request.idempotent,
                call.deadline,
                next.attempts,
                event.end.headForwarded,
                call.mayHaveRun,
            )
        val retryWanted = !call.reply.isAnswered && wantsRetry(facts, result, now)
        val budget = if (retryWanted) takeRetry(call, now) else RetryBudgetAnswer.Exhausted
        when (val decision = decideAfterAttempt(facts, result, budget, now, functions.random)) {
            AttemptDecision.ForwardResponse -> finisher.complete(call, RunEnd.Completed, ResultCode.Accepted, now)
            is AttemptDecision.Retry -> {
                val lastAttemptMayHaveRun = result.evidence == RunEvidence.Unknown
                tables.requests.replace(next.copy(mayHaveRun = call.mayHaveRun || lastAttemptMayHaveRun))
                functions.postLater(decision.backoff, EntryEvent.RetryDue(call.identifier, lastAttemptMayHaveRun))
            }
            is AttemptDecision.RefuseNotRun -> {
                call.reply.refuse(
                    CallerRefusal(decision.code, "no attempt at an endpoint ran the request", retryAfter = 1.seconds),
                )
                finisher.complete(call, RunEnd.NotRun, decision.code, now)
            }
            AttemptDecision.ReportOutcomeUnknown -> {
                val message = "the request may have run; its response was lost"
                call.reply.refuse(CallerRefusal(ResultCode.OutcomeUnknown, message, Execution.Unknown))
                finisher.complete(call, RunEnd.Aborted, ResultCode.OutcomeUnknown, now)
            }
            AttemptDecision.ResetCallerConnection -> finisher.complete(
                call,
                RunEnd.Aborted,
                ResultCode.AnswerBroken,
                now,
            )
        }
    }

    private fun takeRetry(call: Call, now: Instant): RetryBudgetAnswer =
        call.team?.let { tables.budgets.takeRetry(it, now) } ?: RetryBudgetAnswer.Granted

    /** Queues [call] again after its backoff. */
    fun retry(call: Call, lastAttemptMayHaveRun: Boolean) {
        val now = functions.now()
        if (!lastAttemptMayHaveRun) {
            finisher.requeue(call, now)
        } else {
            tables.queues.end(call.identifier, RunEnd.Aborted, now)
            val offered = tables.queues.offer(call.toWaitingRequest(), now)
            if (offered is OfferResult.Refused) finisher.refuse(offered.refusal)
        }
        starter.dispatch(call.pool)
    }
}
