package dogwoodgrade.entry

import dogwoodgrade.model.ResultCode
import dogwoodgrade.shares.QueueOwner
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Upper bounds of the histogram buckets, in seconds; 1.6 s is the limit for the start of urgent work. */
private val durationBoundsSeconds = doubleArrayOf(0.005, 0.02, 0.1, 0.4, 1.6, 5.0, 20.0, 60.0)

/** Metrics of the entry process in the Prometheus text format; `docs/metrics.md` lists them with their units. */
internal class Metrics {
    private val registry = PrometheusRegistry()

    private val requests: Counter =
        Counter
            .builder()
            .name("dogwoodgrade_requests_total")
            .help("Requests that ended, by result code.")
            .labelNames("team", "class", "code")
            .register(registry)

    private val requestTime = histogram("dogwoodgrade_request_seconds", "Time from arrival to the end of a request.")
    private val waitTime = histogram("dogwoodgrade_wait_seconds", "Time from arrival to the start of a request.")

    private val earlyRefusals: Counter =
        Counter
            .builder()
            .name("dogwoodgrade_early_refusals_total")
            .help("Requests refused before admission.")
            .labelNames("code")
            .register(registry)

    private val offset = gauge("dogwoodgrade_applied_offset", "Offset of the folded state.")
    private val contactAge = gauge("dogwoodgrade_contact_age_seconds", "Age of the last contact with the log's head.")
    private val stale = gauge("dogwoodgrade_stale", "1 while the configuration is stale.")
    private val heldRequests = gauge("dogwoodgrade_held_requests", "Requests in the entry, waiting and running.")

    private val permitsHeld = teamGauge("dogwoodgrade_permits_held", "Permits that this entry holds.")
    private val permitsUsed = teamGauge("dogwoodgrade_permits_in_use", "Permits of running tasks.")
    private val waiting = teamGauge("dogwoodgrade_waiting_requests", "Requests that wait for a slot or a permit.")

    /** Records the start of a call. */
    fun recordStart(call: Call, now: Instant) {
        waitTime.labelValues(labelOf(call), call.request.requestClass.text).observe(seconds(now - call.arrival))
    }

    /** Records the end of a call. */
    fun recordEnd(call: Call, code: ResultCode, now: Instant) {
        val team = labelOf(call)
        val requestClass = call.request.requestClass.text
        requests.labelValues(team, requestClass, code.number.toString()).inc()
        requestTime.labelValues(team, requestClass).observe(seconds(now - call.arrival))
    }

    /** Records a refusal before admission. */
    fun recordEarlyRefusal(code: ResultCode) {
        earlyRefusals.labelValues(code.number.toString()).inc()
    }

    /** Returns the metrics in the text format, with gauges read from [tables] and [freshness]. */
    fun text(tables: EntryTables, freshness: AtomicFreshness, now: Instant): String {
        val contact = freshness.contact(tables.control.state.offset, now)
        offset.set(contact.appliedOffset.value.toDouble())
        contactAge.set(contact.age?.let(::seconds) ?: Double.NaN)
        stale.set(if (staleAge(freshness, now) == null) 0.0 else 1.0)
        heldRequests.set(tables.requests.size.toDouble())
        readPermits(tables)
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private fun readPermits(tables: EntryTables) {
        val local = tables.permits.snapshot()
        permitsHeld.clear()
        permitsUsed.clear()
        waiting.clear()
        for ((team, permits) in local.ledger.teams) {
            val count = permits.heldBy(local.entry)
            if (count > 0) permitsHeld.labelValues(team.text).set(count.toDouble())
        }
        local.inUse.forEach { (team, count) -> permitsUsed.labelValues(team.text).set(count.toDouble()) }
        tables.queues.demand().forEach { (team, demand) ->
            waiting.labelValues(team.text).set(demand.waiting.toDouble())
        }
    }

    private fun histogram(name: String, help: String): Histogram =
        Histogram
            .builder()
            .name(name)
            .help(help)
            .labelNames("team", "class")
            .classicOnly()
            .classicUpperBounds(*durationBoundsSeconds)
            .register(registry)

    private fun gauge(name: String, help: String): Gauge = Gauge
        .builder()
        .name(name)
        .help(help)
        .register(registry)

    private fun teamGauge(name: String, help: String): Gauge =
        Gauge
            .builder()
            .name(name)
            .help(help)
            .labelNames("team")
            .register(registry)

    private fun labelOf(call: Call): String =
        when (val owner = call.owner) {
            is QueueOwner.Team -> owner.name.text
            QueueOwner.Open -> "open"
        }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)
}
