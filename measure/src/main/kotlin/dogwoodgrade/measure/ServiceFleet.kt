package dogwoodgrade.measure

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.Endpoint

/** Today's size: five services of 6 to 8 executors with 8 slots, 35 in all. */
internal val PoolSizes = listOf(6, 7, 7, 7, 8)
internal const val SLOTS = 8
internal const val ZONES = 3
internal val Pools = PoolSizes.indices.map { PoolName("service-$it") }
internal val Zones = List(ZONES) { AvailabilityZone("zone-$it") }

/** A team: its share, its part of the demand, its mean run time, and the zone that most of its requests reach. */
internal data class TeamProfile(
    val name: TeamName,
    val share: Double,
    val demand: Double,
    val runTime: Double,
    val home: Int,
)

/** Six teams, two of them large; one large and one small team ask for more than their shares. */
internal val Teams = listOf(
    TeamProfile(TeamName("large-a"), 6.0, 9.0, 300.0, 0),
    TeamProfile(TeamName("large-b"), 5.0, 5.0, 120.0, 1),
    TeamProfile(TeamName("small-a"), 2.0, 2.0, 900.0, 2),
    TeamProfile(TeamName("small-b"), 1.0, 3.0, 60.0, 0),
    TeamProfile(TeamName("small-c"), 1.0, 1.0, 400.0, 1),
    TeamProfile(TeamName("small-d"), 1.0, 1.0, 200.0, 2),
)

internal fun identity(entry: Int): EntryIdentity = EntryIdentity(EntryName("entry-$entry"), 1)

/** Endpoints of all pools, in rotation over the zones. */
internal fun serviceEndpoints(entries: Int): List<Endpoint> =
    PoolSizes.flatMapIndexed { pool, size ->
        List(size) { number ->
            Endpoint(
                InstanceName("instance-$pool-$number"),
                Pools[pool],
                Zones[number % ZONES],
                RackName("rack-${number / 4}"),
                "127.0.0.1:9000",
                SLOTS,
                (64 / entries).coerceAtLeast(1),
            )
        }
    }
