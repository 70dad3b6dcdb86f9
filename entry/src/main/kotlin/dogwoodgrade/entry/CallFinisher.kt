package dogwoodgrade.entry

import dogwoodgrade.model.Execution
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.shares.OfferResult
import dogwoodgrade.shares.Refusal
import dogwoodgrade.shares.RunEnd
import kotlin.time.Instant

/** Removes calls from the tables. Every call is answered and removed exactly once. */
internal class CallFinisher(
    private val tables: EntryTables,
    private val functions: DispatcherFunctions,
) {
    /** Ends [call], which has no attempt in progress, with [refusal]. */
    fun endUnsent(call: Call, refusal: CallerRefusal, now: Instant) {
        tables.queues.end(call.identifier, RunEnd.NotRun, now)
        tables.requests.remove(call.identifier)
        call.reply.refuse(refusal)
        finish(call, refusal.code, now)
    }

    /** Answers a request that the queue has refused or dropped. */
    fun refuse(refusal: Refusal) {
        val call = tables.requests.remove(refusal.identifier) ?: return
        val message =
            when (refusal.code) {
                ResultCode.QueueFull -> "the queue of the team is full"
                ResultCode.DeadlineTooShort -> "the request cannot finish before its deadline"
                ResultCode.Stopping -> "the entry is shutting down"
                else -> "the request cannot be queued"
            }
        call.reply.refuse(CallerRefusal(refusal.code, message, executionOf(call), refusal.retryAfter))
        finish(call, refusal.code, functions.now())
    }

    /** Ends [call], which was already answered, after its last attempt. */
    fun complete(call: Call, end: RunEnd, code: ResultCode, now: Instant) {
        tables.queues.end(call.identifier, end, now)
        tables.requests.remove(call.identifier)
        finish(call, code, now)
    }

    /** Ends [call], whose caller disconnected while it waited. */
    fun cancel(call: Call, now: Instant) {
        tables.requests.remove(call.identifier)
        finish(call, ResultCode.Cancelled, now)
    }

    /** Puts [call] back at the head of its queue, or ends it if the queue refuses it. */
    fun requeue(call: Call, now: Instant) {
        val offered = tables.queues.requeue(call.identifier, now)
        if (offered is OfferResult.Refused) refuse(offered.refusal)
    }

    /** Returns what is known about the execution of [call] while no attempt is in progress. */
    fun executionOf(call: Call): Execution = if (call.mayHaveRun) Execution.Unknown else Execution.No

    /** Returns a permit of [team]. */
    fun releasePermit(team: TeamName) {
        tables.permits.release(team)
        functions.onDemandChanged()
    }

    private fun finish(call: Call, code: ResultCode, now: Instant) = functions.recordEnd(call, code, now)
}
