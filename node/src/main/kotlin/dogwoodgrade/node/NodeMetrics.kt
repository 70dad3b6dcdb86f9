package dogwoodgrade.node

import dogwoodgrade.platform.JobApiReply
import dogwoodgrade.platform.JobOperation
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of this process; docs/metrics.md lists them. */
internal class NodeMetrics {
    private val registry = PrometheusRegistry()
    private val requests =
        Counter
            .builder()
            .name("dogwoodgrade_caller_requests_total")
            .help("Answered requests.")
            .labelNames("verb", "reply")
            .register(registry)
    private val latency =
        Histogram
            .builder()
            .name("dogwoodgrade_caller_seconds")
            .help("Time from the whole request to the reply.")
            .labelNames("verb")
            .classicOnly()
            .register(registry)
    private val orders =
        Counter
            .builder()
            .name("dogwoodgrade_orders_total")
            .help("Orders to executors by outcome.")
            .labelNames("order", "outcome")
            .register(registry)
    private val planTime =
        Histogram
            .builder()
            .name("dogwoodgrade_plan_seconds")
            .help("Time that one plan takes.")
            .classicOnly()
            .register(registry)
    private val owned =
        Gauge
            .builder()
            .name("dogwoodgrade_owned_epoch")
            .help("Epoch if this process owns the fleet, else 0.")
            .register(registry)

    fun answered(verb: JobOperation, reply: JobApiReply, time: Duration) {
        requests.labelValues(verb.name, reply::class.java.simpleName).inc()
        latency.labelValues(verb.name).observe(time.toDouble(DurationUnit.SECONDS))
    }

    fun ordered(order: String, outcome: String) {
        orders.labelValues(order, outcome).inc()
    }

    fun planned(time: Duration) {
        planTime.observe(time.toDouble(DurationUnit.SECONDS))
    }

    fun owning(epoch: Long) {
        owned.set(epoch.toDouble())
    }

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }
}
