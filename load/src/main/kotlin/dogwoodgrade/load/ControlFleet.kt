package dogwoodgrade.load

import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.scenarios.Fleet
import dogwoodgrade.scenarios.FleetEntry
import dogwoodgrade.scenarios.FleetLink
import dogwoodgrade.scenarios.HttpCalls
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

private val ZONE_NAMES = listOf("a", "b", "c")

/** Entries in three zones with one log service. Every second entry reaches the log through its own link. */
internal class ControlFleet(folder: Path, size: Int, entryOptions: List<String>) : AutoCloseable {
    private val fleet = Fleet(folder, entryOptions)
    private var changeCount = 0

    /** Links between every second entry and the log service. */
    val links = mutableListOf<FleetLink>()

    /** Entries by index. */
    val entries: List<FleetEntry>

    init {
        fleet.startLog()
        entries =
            List(size) { index ->
                val log = if (index % 2 == 1) fleet.startLink(fleet.logPort).also(links::add).port else fleet.logPort
                fleet.startEntry("entry-$index", zoneOf(index), log, fleet.entries.map { it.peerWithZone })
            }
        fleet.awaitJoined()
    }

    /** Ports of the log service and of the links to it. */
    val logPorts: Set<Int> get() = links.map { it.port }.toSet() + fleet.logPort

    /** Ports on which entries accept gossip from each other. */
    val gossipPorts: Set<Int> get() = entries.mapTo(mutableSetOf()) { it.peerPort }

    private fun zoneOf(index: Int): String = ZONE_NAMES[index % ZONE_NAMES.size]

    /** Returns the number of appends that the log service has accepted. */
    fun appends(): Long =
        HttpCalls
            .send("GET", "http://127.0.0.1:${fleet.logPort}/statistics")
            .json
            .getValue("appends")
            .jsonPrimitive.long

    /** Publishes the teams with numbers in [range], each with a key, and waits until every entry has applied them. */
    fun addTeams(range: IntRange) {
        val offsets =
            range.map {
                Thread.sleep(PUBLISH_PAUSE_MILLISECONDS)
                fleet.publish(SetTeam(TeamName("team-$it"), 1, TEAM_UPPER_LIMIT, null, Version.None))
                fleet.publish(GiveKey(TeamName("team-$it"), KeyDigest.of("secret-$it")))
            }
        fleet.awaitOffset(offsets.last())
    }

    /** Publishes the pools with numbers in [range] and waits until every entry has applied them. */
    fun addPools(range: IntRange) {
        val offsets =
            range.map {
                Thread.sleep(PUBLISH_PAUSE_MILLISECONDS)
                fleet.publish(
                    SetPool(
                        PoolName("pool-$it"),
                        ServiceName("service-$it"),
                        8,
                        64,
                        5.seconds,
                        1,
                        1,
                        false,
                        Version.None,
                    ),
                )
            }
        fleet.awaitOffset(offsets.last())
    }

    /** Publishes one change, a new key of the first team, and returns its offset. */
    fun publishChange(): Long = fleet.publish(GiveKey(TeamName("team-1"), KeyDigest.of("change-${changeCount++}")))

    override fun close(): Unit = fleet.close()

    private companion object {
        const val TEAM_UPPER_LIMIT = 40

        /** Keeps the publication rate below the limit of the log service, 300 appends per second. */
        const val PUBLISH_PAUSE_MILLISECONDS = 10L
    }
}
