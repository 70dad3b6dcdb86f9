package dogwoodgrade.entry

import dogwoodgrade.model.Execution
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.AttemptDecision
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.RequestFacts
import dogwoodgrade.routing.Reservation
import dogwoodgrade.routing.ReservationRequest
import dogwoodgrade.routing.ReservationResult
import dogwoodgrade.routing.RetryBudgetAnswer
import dogwoodgrade.routing.RunEvidence
import dogwoodgrade.routing.UnavailableReason
import dogwoodgrade.routing.decideAfterAttempt
import dogwoodgrade.routing.wantsRetry
import dogwoodgrade.shares.FreeSlots
import dogwoodgrade.shares.OfferResult
import dogwoodgrade.shares.Refusal
import dogwoodgrade.shares.RunEnd
import dogwoodgrade.shares.WaitingRequest
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Longest difference between the clocks of entries and workers; a task lease counts as over only after it. */
internal val ClockSkew: Duration = 1.seconds

/**
 * What the dispatcher needs from the rest of the process.
 *
 * @property send makes an attempt, see [EndpointClient.send]
 * @property later posts an event after a delay
 * @property demandChanged tells that more or fewer permits may be wanted
 * @property ended reports the end of a call to the metrics
 */
internal data class DispatcherPorts(
    val now: () -> Instant,
    val random: Random,
    val send: (Call, Reservation, mayStart: () -> Boolean, ended: (AttemptEnd) -> Unit) -> Unit,
    val later: (Duration, EntryEvent) -> Unit,
    val post: (EntryEvent) -> Unit,
    val demandChanged: () -> Unit,
    val ended: (Call, ResultCode, Instant) -> Unit,
    val started: (Call, Instant) -> Unit,
)

/**
 * Handles the events of requests: admission, start, end, retry. Any worker may handle any event; all state is in the
 * shared tables. No lock is held while a port is called.
 */
internal class Dispatcher(
    private val settings: Settings,
    private val tables: EntryTables,
    private val freshness: FreshnessCell,
    private val ports: DispatcherPorts,
) {
    private val lastIdentifier = AtomicLong()

    /** Handles one event. */
    fun handle(event: EntryEvent) {
        when (event) {
            is EntryEvent.Arrived -> arrive(event)
            is EntryEvent.CallerLeft -> leave(event.identifier)
            is EntryEvent.AttemptEnded -> tables.requests[event.identifier]?.let { afterAttempt(it, event) }
            is EntryEvent.RetryDue -> tables.requests[event.identifier]?.let { retry(it, event.ran) }
            is EntryEvent.LeaseExpired -> releasePermit(event.team)
            is EntryEvent.CapacityChanged -> dispatch(event.pool)
            EntryEvent.Tick -> tick()
        }
    }

    private fun arrive(event: EntryEvent.Arrived) {
        val now = ports.now()
        when (val admission = admit(tables.control.state, event.request, freshness.status(now))) {
            is Outcome.Failure -> event.reply.refuse(CallerRefusal(admission.code, admission.message))
            is Outcome.Success -> enqueue(event, admission.value, now)
        }
    }

    private fun enqueue(event: EntryEvent.Arrived, admission: Admission, now: Instant) {
        val request = event.request
        val call =
            Call(
                identifier = RequestIdentifier("${settings.name}-${lastIdentifier.incrementAndGet()}"),
                request = request,
                pool = admission.pool.name,
                owner = admission.owner,
                arrival = now,
                deadline = now + (request.timeout ?: settings.limits.defaultDeadline),
                fingerprint = fingerprintOf(request, admission.owner),
                reply = event.reply,
            )
        if (!tables.requests.add(call)) {
            event.reply.refuse(
                CallerRefusal(ResultCode.Overloaded, "the entry holds too many requests", retryAfter = 1.seconds),
            )
            return
        }
        call.team?.let { tables.budgets.recordRequest(it, now) }
        event.admitted(call.identifier)
        val offered = tables.queues.offer(waitingOf(call), now)
        if (offered is OfferResult.Refused) return refuse(offered.refusal)
        ports.demandChanged()
        dispatch(call.pool)
    }

    private fun waitingOf(call: Call): WaitingRequest =
        WaitingRequest(call.identifier, call.pool, call.owner, call.request.requestClass, call.arrival, call.deadline)

    private fun leave(identifier: RequestIdentifier) {
        val now = ports.now()
        tables.requests[identifier]?.reply?.abandon()
        if (tables.queues.cancel(identifier, now) == null) return
        tables.requests.remove(identifier)?.let { finish(it, ResultCode.Cancelled, now) }
        ports.demandChanged()
    }

    private fun tick() {
        val now = ports.now()
        tables.queues.expire(now).forEach(::refuse)
        tables.queues
            .counts()
            .filter { it.waiting > 0 }
            .map { it.pool }
            .distinct()
            .forEach(::dispatch)
    }

    /** Starts waiting requests of [pool] for as long as slots and permits are free. */
    private fun dispatch(pool: PoolName) {
        do {
            val now = ports.now()
            val configured = tables.control.state.configuration.pools[pool] ?: return
            if (freshness.mayStart(now).not()) return
            val free = tables.endpoints.freeCapacity(pool, configured.urgentReserve, now)
            val slots = FreeSlots(free.normal, free.urgent)
            val taken = tables.queues.takeNext(pool, now, slots, tables.permits::isAvailable)
            taken.refusals.forEach(::refuse)
            val call = taken.started?.let { tables.requests[it.identifier] }
        } while (call != null && start(call))
    }

    /** Starts [call] if it may still start; returns whether the next waiting request should be tried. */
    private fun start(call: Call): Boolean {
        val now = ports.now()
        if (call.reply.isAnswered) {
            endUnsent(call, CallerRefusal(ResultCode.Cancelled, "the caller has left"), now)
            return true
        }
        val state = tables.control.state
        val admission = admit(state, call.request, freshness.status(now))
        if (admission is Outcome.Failure) {
            endUnsent(call, CallerRefusal(admission.code, admission.message, executionOf(call)), now)
            return true
        }
        val pool = state.configuration.pools.getValue(call.pool)
        if (call.team?.let(tables.permits::tryAcquire) == false) return putBack(call, now)
        val reserved =
            tables.endpoints.reserve(
                ReservationRequest(
                    call.pool,
                    settings.zone,
                    call.request.requestClass,
                    pool.urgentReserve,
                    now + pool.taskLease,
                    call.tried,
                    call.fingerprint,
                ),
                now,
                ports.random,
            )
        return when (reserved) {
            is ReservationResult.Reserved -> {
                send(call, reserved.reservation, now)
                true
            }
            is ReservationResult.Unavailable -> {
                call.team?.let(::releasePermit)
                withoutEndpoint(call, reserved.reason, now)
            }
        }
    }

    private fun send(call: Call, reservation: Reservation, now: Instant) {
        ports.started(call, now)
        ports.send(
            call,
            reservation,
            {
                val time = ports.now()
                val mayStart =
                    freshness.mayStart(time) && tables.endpoints.mayStart(reservation) && time < call.deadline
                mayStart && admit(tables.control.state, call.request, freshness.status(time)) is Outcome.Success
            },
            { end -> ports.post(EntryEvent.AttemptEnded(call.identifier, reservation, end)) },
        )
    }

    private fun withoutEndpoint(call: Call, reason: UnavailableReason, now: Instant): Boolean =
        when (reason) {
            UnavailableReason.AllFull, UnavailableReason.ReservedForUrgent -> putBack(call, now)
            UnavailableReason.NoneEligible -> if (call.attempts ==
                0
            ) {
                putBack(call, now)
            } else {
                endWithoutEndpoint(call, now)
            }
            UnavailableReason.AllTried -> endWithoutEndpoint(call, now)
            UnavailableReason.PoisonRequest -> {
                val message = "the request failed on several endpoints that serve others well"
                endUnsent(call, CallerRefusal(ResultCode.PoisonousRequest, message, executionOf(call)), now)
                true
            }
        }

    private fun endWithoutEndpoint(call: Call, now: Instant): Boolean {
        endUnsent(
            call,
            CallerRefusal(ResultCode.NoEndpoint, "no endpoint could run the request", executionOf(call), 1.seconds),
            now,
        )
        return true
    }

    private fun executionOf(call: Call): Execution = if (call.mayHaveRun) Execution.Unknown else Execution.No

    private fun putBack(call: Call, now: Instant): Boolean {
        val offered = tables.queues.putBack(call.identifier, now)
        if (offered is OfferResult.Refused) refuse(offered.refusal)
        return false
    }

    private fun endUnsent(call: Call, refusal: CallerRefusal, now: Instant) {
        tables.queues.end(call.identifier, RunEnd.NotRun, now)
        tables.requests.remove(call.identifier)
        call.reply.refuse(refusal)
        finish(call, refusal.code, now)
    }

    /** Answers a request that the queue gave up. */
    private fun refuse(refusal: Refusal) {
        val call = tables.requests.remove(refusal.identifier) ?: return
        val message =
            when (refusal.code) {
                ResultCode.QueueFull -> "the queue of the team is full"
                ResultCode.DeadlineTooShort -> "the request cannot finish before its deadline"
                ResultCode.Stopping -> "the entry is shutting down"
                else -> "the request cannot be queued"
            }
        call.reply.refuse(CallerRefusal(refusal.code, message, executionOf(call), refusal.retryAfter))
        finish(call, refusal.code, ports.now())
    }

    private fun afterAttempt(call: Call, event: EntryEvent.AttemptEnded) {
        val now = ports.now()
        val result = event.end.result
        tables.endpoints.finish(event.reservation, result, now)
        call.team?.let { settlePermit(it, result, event.reservation, now) }
        when (result) {
            AttemptResult.NotSent, AttemptResult.Busy -> putBack(call, now)
            else -> decide(call, event, now)
        }
        dispatch(call.pool)
    }

    /** A task that may still run keeps its permit until its lease has expired at the worker. */
    private fun settlePermit(team: TeamName, result: AttemptResult, reservation: Reservation, now: Instant) {
        val remaining = reservation.leaseUntil + ClockSkew - now
        if (result.evidence == RunEvidence.Unknown && remaining.isPositive()) {
            ports.later(remaining, EntryEvent.LeaseExpired(team))
        } else {
            releasePermit(team)
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
        val wants = !call.reply.isAnswered && wantsRetry(facts, result, now)
        val budget = if (wants) takeRetry(call, now) else RetryBudgetAnswer.Exhausted
        when (val decision = decideAfterAttempt(facts, result, budget, now, ports.random)) {
            AttemptDecision.ForwardResponse -> complete(call, RunEnd.Completed, ResultCode.Accepted, now)
            is AttemptDecision.Retry -> {
                val ran = result.evidence == RunEvidence.Unknown
                tables.requests.replace(next.copy(mayHaveRun = call.mayHaveRun || ran))
                ports.later(decision.backoff, EntryEvent.RetryDue(call.identifier, ran))
            }
            is AttemptDecision.RefuseNotRun -> {
                call.reply.refuse(
                    CallerRefusal(decision.code, "no attempt at an endpoint ran the request", retryAfter = 1.seconds),
                )
                complete(call, RunEnd.NotRun, decision.code, now)
            }
            AttemptDecision.ReportOutcomeUnknown -> {
                val message = "the request may have run; its response was lost"
                call.reply.refuse(CallerRefusal(ResultCode.OutcomeUnknown, message, Execution.Unknown))
                complete(call, RunEnd.Aborted, ResultCode.OutcomeUnknown, now)
            }
            AttemptDecision.BreakCallerConnection -> complete(call, RunEnd.Aborted, ResultCode.AnswerBroken, now)
        }
    }

    private fun takeRetry(call: Call, now: Instant): RetryBudgetAnswer =
        call.team?.let { tables.budgets.takeRetry(it, now) } ?: RetryBudgetAnswer.Granted

    private fun retry(call: Call, ran: Boolean) {
        val now = ports.now()
        if (!ran) {
            putBack(call, now)
        } else {
            tables.queues.end(call.identifier, RunEnd.Aborted, now)
            val offered = tables.queues.offer(waitingOf(call), now)
            if (offered is OfferResult.Refused) refuse(offered.refusal)
        }
        dispatch(call.pool)
    }

    private fun complete(call: Call, end: RunEnd, code: ResultCode, now: Instant) {
        tables.queues.end(call.identifier, end, now)
        tables.requests.remove(call.identifier)
        finish(call, code, now)
    }

    private fun finish(call: Call, code: ResultCode, now: Instant) = ports.ended(call, code, now)

    private fun releasePermit(team: TeamName) {
        tables.permits.release(team)
        ports.demandChanged()
    }
}
