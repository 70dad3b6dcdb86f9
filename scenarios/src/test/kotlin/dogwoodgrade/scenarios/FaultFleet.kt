package dogwoodgrade.scenarios

import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

/** Upper limit of each of the two teams, in tasks that run at once. */
internal const val TEAM_UPPER_LIMIT = 10

/**
 * Publishes the teams granito and fraser, each with its name as its key, and a pool for the service price.
 *
 * The pool has one instance for each of [endpoints], in the zones a, b and so on.
 */
internal fun Fleet.configure(endpoints: List<FleetEndpoint>, leaseSeconds: Int = 4) {
    for (team in listOf("granito", "fraser")) {
        publish(SetTeam(TeamName(team), 1, TEAM_UPPER_LIMIT, null, Version.None))
        publish(GiveKey(TeamName(team), KeyDigest.of(team)))
    }
    val lease = leaseSeconds.seconds
    publish(SetPool(PoolName("pricing"), ServiceName("price"), 64, 640, lease, 1, 0, false, Version.None))
    endpoints.forEachIndexed { index, endpoint ->
        val zone = AvailabilityZone("${'a' + index}")
        val address = "127.0.0.1:${endpoint.port}"
        val change =
            AddInstance(
                InstanceName("i$zone"),
                address,
                zone,
                RackName("r$zone"),
                WorkerName("w$zone"),
                PoolName("pricing"),
            )
        awaitOffset(publish(change))
    }
}

/** Sends a request of [team] whose task runs for [run] milliseconds, without waiting for the response. */
internal fun FleetEntry.sendRequest(team: String, run: Int): CompletableFuture<CallResult> =
    HttpCalls.sendLater("POST", "$callerUrl/price/x?run=$run", "", mapOf("Authorization" to "Bearer $team"))

/** Returns the count of [team] in [field] of the statistics that the endpoint itself keeps. */
internal fun FleetEndpoint.count(field: String, team: String): Int =
    statistics()[field]
        ?.jsonObject
        ?.get(team)
        ?.jsonPrimitive
        ?.int ?: 0

/** Returns the time of the latest task start, in milliseconds since the epoch. */
internal fun FleetEndpoint.lastStart(): Long = statistics().getValue("lastStart").jsonPrimitive.long

/** Returns the number in [field] of what the entry reports about the permits of [team]. */
internal fun FleetEntry.permits(team: String, field: String): Int? =
    HttpCalls
        .send("GET", "$operatorUrl/permits")
        .json["teams"]
        ?.jsonArray
        ?.map { it.jsonObject }
        ?.firstOrNull { it["team"]?.jsonPrimitive?.content == team }
        ?.get(field)
        ?.jsonPrimitive
        ?.int

/** Returns the number of the result code in the response. */
internal fun CallResult.code(): Int? = json["code"]?.jsonPrimitive?.int

/** Returns whether the task was executed: `no` or `unknown`; `null` if the response does not say. */
internal fun CallResult.executed(): String? = json["executed"]?.jsonPrimitive?.content
