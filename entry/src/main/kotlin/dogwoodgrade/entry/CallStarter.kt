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
 * Whether a call may start is decided three times: when it arrives, when a slot is free, and right before its first
 * byte, because a key, a zone or an endpoint may be withdrawn in between.
 */
internal class CallStarter(
    private val settings: Settings,
    private val tables: EntryTables,
    private val freshness: FreshnessCell,
    private val ports: DispatcherPorts,
    private val endings: CallEndings,
) {
    /** Starts waiting requests of [pool] for as long as slots and permits are free. */
    fun dispatch(pool: PoolName) {
        do {
            val now = ports.now()
            val configured = tables.control.state.configuration.pools[pool] ?: return
            if (freshness.mayStart(now).not()) return
            val free = tables.endpoints.freeCapacity(pool, configured.urgentReserve, now)
            val slots = FreeSlots(free.normal, free.urgent)
            val taken = tables.queues.takeNext(pool, now, slots, tables.permits::isAvailable)
            taken.refusals.forEach(endings::refuse)
            val call = taken.started?.let { tables.requests[it.identifier] }
        } while (call != null && start(call))
    }

    /** Starts [call] if it may still start; returns whether the next waiting request should be tried. */
    private fun start(call: Call): Boolean {
        val now = ports.now()
        if (call.reply.isAnswered) {
            endings.endUnsent(call, CallerRefusal(ResultCode.Cancelled, "the caller has left"), now)
            return true
        }
        val state = tables.control.state
        val admission = admit(state, call.request, freshness.status(now))
        if (admission is Outcome.Failure) {
            endings.endUnsent(call, CallerRefusal(admission.code, admission.message, endings.executionOf(call)), now)
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
                call.team?.let(endings::releasePermit)
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
            UnavailableReason.NoneEligible ->
                if (call.attempts == 0) putBack(call, now) else endWithoutEndpoint(call, now)
            UnavailableReason.AllTried -> endWithoutEndpoint(call, now)
            UnavailableReason.PoisonRequest -> {
                val message = "the request failed on several endpoints that serve others well"
                endings.endUnsent(
                    call,
                    CallerRefusal(ResultCode.PoisonousRequest, message, endings.executionOf(call)),
                    now,
                )
                true
            }
        }

    private fun endWithoutEndpoint(call: Call, now: Instant): Boolean {
        endings.endUnsent(
            call,
            CallerRefusal(
                ResultCode.NoEndpoint,
                "no endpoint could run the request",
                endings.executionOf(call),
                1.seconds,
            ),
            now,
        )
        return true
    }

    private fun putBack(call: Call, now: Instant): Boolean {
        endings.putBack(call, now)
        return false
    }
}
