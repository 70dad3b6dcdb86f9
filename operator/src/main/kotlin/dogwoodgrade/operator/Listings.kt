package dogwoodgrade.operator

import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.maintenance.WavePlan
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import kotlinx.serialization.json.JsonObject
import java.util.Locale

/** Returns the configuration as tables; keys are shown as short digests. */
internal fun configurationTables(state: ConfigurationState): List<Table> =
    listOf(teamsTable(state), poolsTable(state), instancesTable(state), zonesTable(state), documentsTable(state))

private fun teamsTable(state: ConfigurationState): Table =
    Table(
        "teams",
        listOf("team", "share", "upperLimit", "refuseWhenStaleAfter", "keys", "version"),
        state.teams.values.sortedBy { it.name }.map { team ->
            val digests = state.keys.filterValues { it == team.name }.keys
            val keys = digests.map { "$it" }.sorted().joinToString(",")
            cells(team.name, team.share, team.upperLimit, team.refuseWhenStaleAfter ?: "-", keys, team.version)
        },
    )

private fun poolsTable(state: ConfigurationState): Table =
    Table(
        "pools",
        listOf("pool", "service", "slots", "connections", "taskLease", "budget", "urgent", "open", "version"),
        state.pools.values.sortedBy { it.name }.map {
            cells(
                it.name,
                it.service,
                it.slotsPerEndpoint,
                it.connectionsPerEndpoint,
                it.taskLease,
                it.availabilityBudget,
                it.urgentReserve,
                it.open,
                it.version,
            )
        },
    )

private fun instancesTable(state: ConfigurationState): Table =
    Table(
        "instances",
        listOf("instance", "pool", "zone", "rack", "worker", "address", "wave", "failed", "maintainedAt"),
        state.instances.values.sortedBy { it.name }.map {
            val wave = it.wave ?: "-"
            val maintained = it.maintainedAt ?: "-"
            cells(it.name, it.pool, it.zone, it.rack, it.worker, it.address, wave, it.failed, maintained)
        },
    )

private fun zonesTable(state: ConfigurationState): Table =
    Table(
        "zones",
        listOf("zone", "inService", "version"),
        zonesOf(state).map { cells(it, state.isInService(it), state.versionOf(it)) },
    )

private fun documentsTable(state: ConfigurationState): Table =
    Table(
        "documents",
        listOf("document", "schema", "bytes", "version"),
        state.documents.values.sortedWith(compareBy({ it.key.name }, { it.key.schemaVersion })).map {
            cells(it.key.name, it.key.schemaVersion, it.content.encodeToByteArray().size, it.version)
        },
    )

private fun zonesOf(state: ConfigurationState) =
    (state.zones.keys + state.instances.values.map { it.zone }).distinct().sorted()

/** Returns a table of the offset, digest and counts of [state]. */
internal fun stateTable(state: ControlState): Table {
    val configuration = state.configuration
    return Table(
        "state",
        listOf("offset", "digest", "teams", "keys", "pools", "instances", "draining", "failed", "jobs", "entries"),
        listOf(
            cells(
                state.offset,
                SnapshotCodec.digest(state),
                configuration.teams.size,
                configuration.keys.size,
                configuration.pools.size,
                configuration.instances.size,
                configuration.instances.values.count { it.draining },
                configuration.instances.values.count { it.failed },
                state.jobs.unfinished.size,
                state.entries.size,
            ),
        ),
    )
}

/**
 * Returns a table of what each joined entry reports about itself, and whether it has folded the state at [offset].
 *
 * @param answers answers of the entries to `/state`
 * @param gossipRows rows of the `/entries` answer of one entry, by entry identity; used for entries that did not answer
 * `/state` themselves
 */
internal fun entriesTable(
    entries: Collection<JoinedEntry>,
    offset: Offset,
    answers: Map<EntryIdentity, JsonObject?>,
    gossipRows: Map<String, JsonObject>,
): Table =
    Table(
        "entries",
        listOf("entry", "zone", "operatorAddress", "offset", "confirmed", "contactAgeSeconds", "liveness", "freshness"),
        entries.sortedBy { it.identity }.map { entry ->
            val answer = answers[entry.identity]
            val gossip = gossipRows[entry.identity.toString()]
            val own = answer ?: gossip
            val appliedOffset = own?.let { longField(it, "offset") }
            cells(
                entry.identity,
                entry.zone,
                entry.operatorAddress,
                appliedOffset ?: "-",
                appliedOffset != null && appliedOffset >= offset.value,
                own
                    ?.let { textField(it, "contactAgeSeconds") }
                    ?.toDoubleOrNull()
                    ?.let { "%.1f".format(Locale.ROOT, it) }
                    ?: "-",
                if (answer != null) "answers" else gossip?.let { textField(it, "liveness") } ?: "unknown",
                answer?.let { textField(it, "freshness") } ?: "unknown",
            )
        },
    )

/** Returns tables of the drains of [plan], the blocked pools with their reasons, and the remaining instances. */
internal fun planTables(plan: WavePlan): List<Table> =
    listOf(
        Table("drains", listOf("instance", "wave"), plan.drains.map { cells(it.instance, it.wave) }),
        Table("blocked", listOf("pool", "reason"), plan.blocked.map { (pool, reason) -> cells(pool, reason) }),
        Table("remaining", listOf("instances"), listOf(cells(plan.remaining))),
    )

internal fun cells(vararg values: Any): List<String> = values.map { it.toString() }
