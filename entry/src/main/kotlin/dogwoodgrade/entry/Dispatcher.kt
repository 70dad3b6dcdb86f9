package dogwoodgrade.entry

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.shares.OfferResult
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Handles the events of requests. Any worker may handle any event; all state is in the shared tables. No lock is held
 * while a port is called.
 */
internal class Dispatcher(
    private val settings: Settings,
    private val tables: EntryTables,
    private val freshness: FreshnessCell,
    private val ports: DispatcherPorts,
) {
    private val endings = CallEndings(tables, ports)
    private val starter = CallStarter(settings, tables, freshness, ports, endings)
    private val attempts = AttemptHandler(tables, ports, endings, starter)
    private val lastIdentifier = AtomicLong()

    /** Handles one event. */
    fun handle(event: EntryEvent) {
        when (event) {
            is EntryEvent.Arrived -> arrive(event)
            is EntryEvent.CallerLeft -> leave(event.identifier)
            is EntryEvent.AttemptEnded -> tables.requests[event.identifier]?.let { attempts.ended(it, event) }
            is EntryEvent.RetryDue -> tables.requests[event.identifier]?.let { attempts.retry(it, event.ran) }
            is EntryEvent.LeaseExpired -> endings.releasePermit(event.team)
            EntryEvent.Tick -> tick()
        }
    }

    private fun arrive(event: EntryEvent.Arrived) {
        val now = ports.now()
        when (val admission = admit(tables.control.state, event.request, freshness.status(now))) {
            is Outcome.Failure -> {
                ports.refused(admission.code)
                event.reply.refuse(CallerRefusal(admission.code, admission.message))
            }
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
        val offered = tables.queues.offer(call.toWaitingRequest(), now)
        if (offered is OfferResult.Refused) return endings.refuse(offered.refusal)
        ports.demandChanged()
        starter.dispatch(call.pool)
    }

    private fun leave(identifier: RequestIdentifier) {
        val now = ports.now()
        tables.requests[identifier]?.reply?.abandon()
        if (tables.queues.cancel(identifier, now) == null) return
        tables.requests[identifier]?.let { endings.cancel(it, now) }
        ports.demandChanged()
    }

    private fun tick() {
        val now = ports.now()
        tables.queues.expire(now).forEach(endings::refuse)
        tables.queues
            .counts()
            .filter { it.waiting > 0 }
            .map { it.pool }
            .distinct()
            .forEach(starter::dispatch)
    }
}
