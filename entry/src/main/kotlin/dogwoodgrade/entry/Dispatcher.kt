package dogwoodgrade.entry

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.shares.OfferResult
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Handles the events of requests. Any worker may handle any event, because all state is in the shared tables. No lock
 * is held while a function of [DispatcherFunctions] is called.
 */
internal class Dispatcher(
    private val settings: Settings,
    private val tables: EntryTables,
    private val freshness: AtomicFreshness,
    private val functions: DispatcherFunctions,
) {
    private val finisher = CallFinisher(tables, functions)
    private val starter = CallStarter(settings, tables, freshness, functions, finisher)
    private val attempts = AttemptHandler(tables, functions, finisher, starter)
    private val lastCallNumber = AtomicLong()

    /** Handles one event. */
    fun handle(event: EntryEvent) {
        when (event) {
            is EntryEvent.Arrived -> handleArrival(event)
            is EntryEvent.CallerLeft -> handleCallerLeft(event.identifier)
            is EntryEvent.AttemptEnded -> tables.requests[event.identifier]?.let { attempts.handleEnd(it, event) }
            is EntryEvent.RetryDue ->
                tables.requests[event.identifier]?.let { attempts.retry(it, event.lastAttemptMayHaveRun) }
            is EntryEvent.LeaseExpired -> finisher.releasePermit(event.team)
            EntryEvent.Tick -> handleTick()
        }
    }

    private fun handleArrival(event: EntryEvent.Arrived) {
        val now = functions.now()
        when (val admission = admit(tables.control.state, event.request, freshness.status(now))) {
            is Outcome.Failure -> {
                functions.recordRefusal(admission.code)
                event.reply.refuse(CallerRefusal(admission.code, admission.message))
            }
            is Outcome.Success -> enqueue(event, admission.value, now)
        }
    }

    private fun enqueue(event: EntryEvent.Arrived, admission: Admission, now: Instant) {
        val request = event.request
        val call =
            Call(
                identifier = RequestIdentifier("${settings.name}-${lastCallNumber.incrementAndGet()}"),
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
        val offered = tables.queues.offer(call.toWaitingRequest(), now)
        if (offered is OfferResult.Refused) return finisher.refuse(offered.refusal)
        functions.onDemandChanged()
        starter.dispatch(call.pool)
    }

    private fun handleCallerLeft(identifier: RequestIdentifier) {
        val now = functions.now()
        tables.requests[identifier]?.reply?.abandon()
        if (tables.queues.cancel(identifier, now) == null) return
        tables.requests[identifier]?.let { finisher.cancel(it, now) }
        functions.onDemandChanged()
    }

    private fun handleTick() {
        val now = functions.now()
        tables.queues.expire(now).forEach(finisher::refuse)
        tables.queues
            .counts()
            .filter { it.waiting > 0 }
            .map { it.pool }
            .distinct()
            .forEach(starter::dispatch)
    }
}
