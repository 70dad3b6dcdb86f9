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

/** Limit of each of the two teams, whose keys are their names. */
internal const val LIMIT = 10

/** Publishes the teams granito and fraser and the pool of the service price, with one instance per zone a, b, ... */
internal fun Fleet.configure(endpoints: List<FleetEndpoint>, leaseSeconds: Int = 4) {
    for (team in listOf("granito", "fraser")) {
        publish(SetTeam(TeamName(team), 1, LIMIT, null, Version.None))
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

internal fun FleetEntry.callLater(team: String, run: Int): CompletableFuture<CallResult> =
    HttpCalls.sendLater("POST", "$caller/price/x?run=$run", "", mapOf("Authorization" to "Bearer $team"))

/** Returns how many tasks of [team] the endpoint has counted as [what], by its own count. */
internal fun FleetEndpoint.count(what: String, team: String): Int =
    statistics()[what]
        ?.jsonObject
        ?.get(team)
        ?.jsonPrimitive
        ?.int ?: 0

internal fun FleetEndpoint.lastStart(): Long = statistics().getValue("lastStart").jsonPrimitive.long

/** Returns a number from what the entry shows of the permits of [team]. */
internal fun FleetEntry.permits(team: String, what: String): Int? =
    HttpCalls
        .send("GET", "$operator/permits")
        .json["teams"]
        ?.jsonArray
        ?.map { it.jsonObject }
        ?.firstOrNull { it["team"]?.jsonPrimitive?.content == team }
        ?.get(what)
        ?.jsonPrimitive
        ?.int

internal fun CallResult.code(): Int? = json["code"]?.jsonPrimitive?.int

internal fun CallResult.executed(): String? = json["executed"]?.jsonPrimitive?.content
