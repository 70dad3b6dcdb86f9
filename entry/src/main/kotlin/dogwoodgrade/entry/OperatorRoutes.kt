package dogwoodgrade.entry

import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.control.ControlState
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.DurationUnit
import kotlin.time.Instant

private const val STATUS_UNAVAILABLE = 503

/** Read-only HTTP routes for operators, the load balancer's readiness check and Prometheus. */
internal class OperatorRoutes(
    private val identity: EntryIdentity,
    private val settings: Settings,
    private val tables: EntryTables,
    private val freshness: AtomicFreshness,
    private val metrics: Metrics,
    private val isStopping: () -> Boolean,
    private val now: () -> Instant,
) {
    private val lastDigest = AtomicReference(Offset.Zero to "")

    /** Returns the router of the listener. */
    fun router(vertx: Vertx): Router {
        val router = Router.router(vertx)
        router.get("/ready").handler { context ->
            if (!isReady()) context.response().setStatusCode(STATUS_UNAVAILABLE)
            context.json(JsonObject().put("ready", isReady()).put("stopping", isStopping()))
        }
        router.get("/metrics").handler { context ->
            context.response().putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
            context.end(metrics.text(tables, freshness, now()))
        }
        router.get("/state").handler { context -> context.json(describeSelf()) }
        router.get("/entries").handler { context -> context.json(describeEntries()) }
        router.get("/permits").handler { context -> context.json(describePermits()) }
        router.get("/endpoints").handler { context -> context.json(describeEndpoints()) }
        router.get("/loads").handler { context -> context.json(describeLoads()) }
        return router
    }

    /** An entry is ready when it has a configuration and is not shutting down. */
    private fun isReady(): Boolean = !isStopping() && tables.control.state.offset > Offset.Zero

    private fun describeSelf(): JsonObject {
        val time = now()
        val state = tables.control.state
        val status = freshness.status(time)
        return JsonObject()
            .put("entry", identity.toString())
            .put("zone", settings.zone.text)
            .put("joined", state.isJoined(identity))
            .put("offset", state.offset.value)
            .put("digest", digestOf(state))
            .put("freshness", nameOf(status))
            .put("contactAgeSeconds", freshness.contact(state.offset, time).age?.toDouble(DurationUnit.SECONDS))
            .put("requests", tables.requests.size)
    }

    /** Computes the digest once per offset, because it reads the whole state. */
    private fun digestOf(state: ControlState): String {
        val (offset, digest) = lastDigest.get()
        if (offset == state.offset && digest.isNotEmpty()) return digest
        return SnapshotCodec.digest(state).also { lastDigest.set(state.offset to it) }
    }

    private fun nameOf(status: FreshnessStatus): String =
        when (status) {
            is FreshnessStatus.Fresh -> "fresh"
            is FreshnessStatus.Verifying -> "verifying"
            is FreshnessStatus.Stale -> "stale"
        }

    private fun describeEntries(): JsonObject {
        val time = now()
        val members = tables.members.members(time)
        val membersByIdentity = members.associateBy { it.identity }
        val own = tables.control.state
        val rows =
            own.entries.values.sortedBy { it.identity }.map { joined ->
                val member = membersByIdentity[joined.identity]
                val isSelf = joined.identity == identity
                val contact = if (isSelf) freshness.contact(own.offset, time) else member?.contact
                JsonObject()
                    .put("entry", joined.identity.toString())
                    .put("zone", joined.zone.text)
                    .put("operatorAddress", joined.operatorAddress)
                    .put("liveness", if (isSelf) "self" else member?.liveness?.name?.lowercase() ?: "unknown")
                    .put("offset", contact?.appliedOffset?.value)
                    .put("contactAgeSeconds", contact?.age?.toDouble(DurationUnit.SECONDS))
            }
        return JsonObject().put("offset", own.offset.value).put("entries", JsonArray(rows))
    }

    private fun describePermits(): JsonObject {
        val local = tables.permits.snapshot()
        val teams =
            local.ledger.teams.entries.sortedBy { it.key }.map { (team, permits) ->
                JsonObject()
                    .put("team", team.text)
                    .put("limit", permits.limit)
                    .put("free", permits.free)
                    .put("quarantined", permits.quarantinedTotal)
                    .put("heldHere", permits.heldBy(identity))
                    .put("inUseHere", local.inUse[team] ?: 0)
            }
        return JsonObject().put("teams", JsonArray(teams))
    }

    private fun describeEndpoints(): JsonObject {
        val time = now()
        val pools = tables.control.state.configuration.pools.keys
            .sorted()
        val rows =
            pools.flatMap { tables.endpoints.statusOf(it, time) }.map { status ->
                JsonObject()
                    .put("instance", status.endpoint.instance.text)
                    .put("pool", status.endpoint.pool.text)
                    .put("zone", status.endpoint.zone.text)
                    .put("inFlight", status.inFlight)
                    .put("condition", status.condition.name.lowercase())
            }
        return JsonObject().put("endpoints", JsonArray(rows))
    }

    /** This entry's requests per instance, draining ones included. Reads the offset first, so the counts are newer. */
    private fun describeLoads(): JsonObject {
        val state = tables.control.state
        val time = now()
        val loads = JsonObject()
        for (instance in state.configuration.instances.keys) {
            val drain = tables.endpoints.drainState(instance, time)
            val count = drain.inFlight + if (drain.mayRunUntil == null) 0 else 1
            if (count > 0) loads.put(instance.text, count)
        }
        return JsonObject()
            .put("entry", identity.toString())
            .put("heartbeat", tables.members.heartbeat)
            .put("offset", state.offset.value)
            .put("inFlight", loads)
    }
}
