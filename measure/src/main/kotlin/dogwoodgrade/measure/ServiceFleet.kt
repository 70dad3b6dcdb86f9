package dogwoodgrade.measure

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.Endpoint

/** Instances per pool: five services of 6 to 8 executors with 8 slots, 35 in all. */
internal val POOL_SIZES = listOf(6, 7, 7, 7, 8)
internal const val SLOTS_PER_INSTANCE = 8
internal const val ZONE_COUNT = 3
internal val POOL_NAMES = POOL_SIZES.indices.map { PoolName("service-$it") }
internal val AVAILABILITY_ZONES = List(ZONE_COUNT) { AvailabilityZone("zone-$it") }

/**
 * Share and load of a team.
 *
 * @property demand demand relative to the other teams
 * @property homeZoneIndex index of the zone in which most of its requests arrive
 */
internal data class TeamProfile(
    val name: TeamName,
    val share: Double,
    val demand: Double,
    val meanRunTimeMilliseconds: Double,
    val homeZoneIndex: Int,
)

/** Six teams, two of them large. One large and one small team ask for more than their shares. */
internal val TEAM_PROFILES = listOf(
    TeamProfile(TeamName("large-a"), 6.0, 9.0, 300.0, 0),
    TeamProfile(TeamName("large-b"), 5.0, 5.0, 120.0, 1),
    TeamProfile(TeamName("small-a"), 2.0, 2.0, 900.0, 2),
    TeamProfile(TeamName("small-b"), 1.0, 3.0, 60.0, 0),
    TeamProfile(TeamName("small-c"), 1.0, 1.0, 400.0, 1),
    TeamProfile(TeamName("small-d"), 1.0, 1.0, 200.0, 2),
)

internal fun identity(entry: Int): EntryIdentity = EntryIdentity(EntryName("entry-$entry"), 1)

/** Returns the endpoints of all pools; those of a pool are assigned to the zones in rotation. */
internal fun serviceEndpoints(entries: Int): List<Endpoint> =
    POOL_SIZES.flatMapIndexed { pool, size ->
        List(size) { number ->
            Endpoint(
                InstanceName("instance-$pool-$number"),
                POOL_NAMES[pool],
                AVAILABILITY_ZONES[number % ZONE_COUNT],
                RackName("rack-${number / 4}"),
                "127.0.0.1:9000",
                SLOTS_PER_INSTANCE,
                (64 / entries).coerceAtLeast(1),
            )
        }
    }
