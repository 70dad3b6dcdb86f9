package dogwoodgrade.operator

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import kotlinx.serialization.Serializable

/**
 * The TOML file with which operators edit the configuration. The `version` of an item is the version that the edit is
 * based on.
 */
@Serializable
internal data class FleetFile(
    val teams: List<TeamItem> = emptyList(),
    val pools: List<PoolItem> = emptyList(),
    val instances: List<InstanceItem> = emptyList(),
    val documents: List<DocumentItem> = emptyList(),
)

/** A team. A negative [refuseWhenStaleAfterMilliseconds] means that stale entries never refuse its requests. */
@Serializable
internal data class TeamItem(
    val name: String,
    val share: Int,
    val upperLimit: Int,
    val refuseWhenStaleAfterMilliseconds: Long = -1,
    val version: Long = 0,
)

@Serializable
internal data class PoolItem(
    val name: String,
    val service: String,
    val slots: Int = 8,
    val connections: Int = 64,
    val taskLeaseMilliseconds: Long = 60_000,
    val budget: Int,
    val urgentReserve: Int = 1,
    val open: Boolean = false,
    val version: Long = 0,
)

/** An instance. It has no version; [basedOnPool], the pool that a move starts from, is checked in its place. */
@Serializable
internal data class InstanceItem(
    val name: String,
    val address: String,
    val zone: String,
    val rack: String,
    val worker: String,
    val pool: String,
    val basedOnPool: String = "",
)

@Serializable
internal data class DocumentItem(
    val name: String,
    val schema: Int,
    val content: String,
    val version: Long = 0,
)

private val strictToml = Toml(inputConfig = TomlInputConfig(ignoreUnknownNames = false))

/** Parses the text of a fleet file; unknown fields are refused. */
internal fun parseFleetFile(text: String): Outcome<FleetFile> =
    try {
        Success(strictToml.decodeFromString(FleetFile.serializer(), text))
    } catch (failure: Exception) {
        // The library throws exceptions of several unrelated types for malformed files.
        Failure(ResultCode.InvalidValue, "the file cannot be read: ${failure.message?.lineSequence()?.first()}")
    }

/** Returns the fleet file that describes [state]. */
internal fun fleetFileOf(state: ConfigurationState): FleetFile =
    FleetFile(
        state.teams.values.sortedBy { it.name }.map {
            val staleAfter = it.refuseWhenStaleAfter?.inWholeMilliseconds ?: -1
            TeamItem(it.name.text, it.share, it.upperLimit, staleAfter, it.version.number)
        },
        state.pools.values.sortedBy { it.name }.map {
            PoolItem(
                it.name.text,
                it.service.text,
                it.slotsPerEndpoint,
                it.connectionsPerEndpoint,
                it.taskLease.inWholeMilliseconds,
                it.availabilityBudget,
                it.urgentReserve,
                it.open,
                it.version.number,
            )
        },
        state.instances.values.sortedBy { it.name }.map {
            val pool = it.pool.text
            InstanceItem(it.name.text, it.address, it.zone.text, it.rack.text, it.worker.text, pool, pool)
        },
        state.documents.values.sortedWith(compareBy({ it.key.name }, { it.key.schemaVersion })).map {
            DocumentItem(it.key.name.text, it.key.schemaVersion, it.content, it.version.number)
        },
    )

/** Formats [file] as TOML that [parseFleetFile] can read. */
internal fun formatFleetFile(file: FleetFile): String =
    buildString {
        for (item in file.teams) {
            appendItem("teams", "name" to item.name, "share" to item.share, "upperLimit" to item.upperLimit)
            appendLine("refuseWhenStaleAfterMilliseconds = ${item.refuseWhenStaleAfterMilliseconds}")
            appendLine("version = ${item.version}\n")
        }
        for (item in file.pools) {
            appendItem("pools", "name" to item.name, "service" to item.service, "slots" to item.slots)
            appendLine("connections = ${item.connections}")
            appendLine("taskLeaseMilliseconds = ${item.taskLeaseMilliseconds}\nbudget = ${item.budget}")
            appendLine("urgentReserve = ${item.urgentReserve}\nopen = ${item.open}\nversion = ${item.version}\n")
        }
        for (item in file.instances) {
            appendItem("instances", "name" to item.name, "address" to item.address, "zone" to item.zone)
            appendLine("rack = ${quoted(item.rack)}\nworker = ${quoted(item.worker)}")
            appendLine("pool = ${quoted(item.pool)}\nbasedOnPool = ${quoted(item.basedOnPool)}\n")
        }
        for (item in file.documents) {
            appendItem("documents", "name" to item.name, "schema" to item.schema, "content" to item.content)
            appendLine("version = ${item.version}\n")
        }
    }

private fun StringBuilder.appendItem(table: String, vararg fields: Pair<String, Any>) {
    appendLine("[[$table]]")
    for ((name, value) in fields) appendLine("$name = ${if (value is String) quoted(value) else value}")
}

private fun quoted(text: String): String =
    "\"" +
        text
            .replace("\\", "\\\\")
            .replace("\"", "\\\"")
            .replace("\n", "\\n")
            .replace("\r", "\\r")
            .replace("\t", "\\t") + "\""
