package dogwoodgrade.entry

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.routing.Reservation
import dogwoodgrade.routing.ReservationRequest
import dogwoodgrade.routing.ReservationResult
import dogwoodgrade.routing.UnavailableReason
import dogwoodgrade.shares.FreeSlots
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Starts waiting calls.
 *
 * Whether a call may start is checked three times: when it arrives, when a slot is free, and right before its first
 * byte is sent, because a key, a zone or an endpoint may be withdrawn in between.
 */
internal class CallStarter(
    private val settings: Settings,
    private val tables: EntryTables,
    private val freshness: AtomicFreshness,
    private val functions: DispatcherFunctions,
    private val finisher: CallFinisher,
) {
    /** Starts waiting requests of [pool] for as long as slots and permits are free. */
    fun dispatch(pool: PoolName) {
        do {
            val now = functions.now()
            val configured = tables.control.state.configuration.pools[pool] ?: return
            if (freshness.mayStart(now).not()) return
            val free = tables.endpoints.freeCapacity(pool, configured.urgentReserve, now)
            val slots = FreeSlots(free.normal, free.urgent)
            val next = tables.queues.takeNext(pool, now, slots, tables.permits::isAvailable)
            next.refusals.forEach(finisher::refuse)
            val call = next.started?.let { tables.requests[it.identifier] }
        } while (call != null && start(call))
    }

    /** Starts [call] if it may still start; returns whether the next waiting request should be tried. */
    private fun start(call: Call): Boolean {
        val now = functions.now()
        if (call.reply.isAnswered) {
            finisher.endUnsent(call, CallerRefusal(ResultCode.Cancelled, "the caller has disconnected"), now)
            return true
        }
        val state = tables.control.state
        val admission = admit(state, call.request, freshness.status(now))
        if (admission is Outcome.Failure) {
            finisher.endUnsent(call, CallerRefusal(admission.code, admission.message, finisher.executionOf(call)), now)
            return true
        }
        val pool = state.configuration.pools.getValue(call.pool)
        if (call.team?.let(tables.permits::tryAcquire) == false) return requeue(call, now)
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
                functions.random,
            )
        return when (reserved) {
            is ReservationResult.Reserved -> {
                send(call, reserved.reservation, now)
                true
            }
            is ReservationResult.Unavailable -> {
                call.team?.let(finisher::releasePermit)
                handleUnavailable(call, reserved.reason, now)
            }
        }
    }

    private fun send(call: Call, reservation: Reservation, now: Instant) {
        functions.recordStart(call, now)
        functions.send(
            call,
            reservation,
            {
                val time = functions.now()
                val mayStart =
                    freshness.mayStart(time) && tables.endpoints.mayStart(reservation) && time < call.deadline
                mayStart && admit(tables.control.state, call.request, freshness.status(time)) is Outcome.Success
            },
            { end -> functions.post(EntryEvent.AttemptEnded(call.identifier, reservation, end)) },
        )
    }

    private fun handleUnavailable(call: Call, reason: UnavailableReason, now: Instant): Boolean =
        when (reason) {
            UnavailableReason.AllFull, UnavailableReason.ReservedForUrgent -> requeue(call, now)
            UnavailableReason.NoneEligible ->
                if (call.attempts == 0) requeue(call, now) else endWithoutEndpoint(call, now)
            UnavailableReason.AllTried -> endWithoutEndpoint(call, now)
            UnavailableReason.PoisonRequest -> {
                val message = "the request failed on several endpoints that serve others well"
                finisher.endUnsent(
                    call,
                    CallerRefusal(ResultCode.PoisonousRequest, message, finisher.executionOf(call)),
                    now,
                )
                true
            }
        }

    private fun endWithoutEndpoint(call: Call, now: Instant): Boolean {
        finisher.endUnsent(
            call,
            CallerRefusal(
                ResultCode.NoEndpoint,
                "no endpoint could run the request",
                finisher.executionOf(call),
                1.seconds,
            ),
            now,
        )
        return true
    }

    private fun requeue(call: Call, now: Instant): Boolean {
        finisher.requeue(call, now)
        return false
    }
}
