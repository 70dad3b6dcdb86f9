package dogwoodgrade.load

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
import dogwoodgrade.scenarios.Fleet
import dogwoodgrade.scenarios.FleetEndpoint
import kotlin.time.Duration.Companion.seconds

/** Headers of requests of the team that sends the load. */
internal val TEAM_HEADERS = mapOf("Authorization" to "Bearer secret")

/** Publishes a team, its key, and a pool with one [endpoint] for the service `price`. Returns the last offset. */
internal fun Fleet.publishPath(endpoint: FleetEndpoint, slots: Int): Long {
    publish(SetTeam(TeamName("granito"), 1, TEAM_UPPER_LIMIT, null, Version.None))
    publish(GiveKey(TeamName("granito"), KeyDigest.of("secret")))
    publish(SetPool(PoolName("pricing"), ServiceName("price"), slots, slots, 5.seconds, 1, 1, false, Version.None))
    return publish(
        AddInstance(
            InstanceName("i1"),
            "127.0.0.1:${endpoint.port}",
            AvailabilityZone("a"),
            RackName("r"),
            WorkerName("w"),
            PoolName("pricing"),
        ),
    )
}

private const val TEAM_UPPER_LIMIT = 1_000
