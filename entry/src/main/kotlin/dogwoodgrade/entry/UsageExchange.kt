package dogwoodgrade.entry

import dogwoodgrade.membership.CellName
import dogwoodgrade.membership.Demand
import dogwoodgrade.membership.EntryReport
import dogwoodgrade.membership.Liveness
import dogwoodgrade.membership.LogContact
import dogwoodgrade.membership.MemberView
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.QueueTable
import dogwoodgrade.shares.UsageRow
import dogwoodgrade.shares.UsageSnapshot
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/** Reports the usage of the queues to other entries, and applies their reports to the queues. */
internal class UsageExchange(private val queues: QueueTable) {
    private val reporters: MutableSet<EntryIdentity> = ConcurrentHashMap.newKeySet()

    /** Returns the report for a gossip round; called once per round, because the snapshot also corrects shares. */
    fun entryReport(
        contact: LogContact,
        load: Map<InstanceName, Int>,
        watched: Set<InstanceName>,
        now: Instant,
    ): EntryReport = entryReport(queues.snapshot(now), contact, load, watched)

    /** Passes the reports of [members] on to the queues, and drops the reports of all other entries. */
    fun applyReports(members: List<MemberView>, now: Instant) {
        val present = members.filter { it.liveness != Liveness.Absent }
        for (member in present) {
            reporters += member.identity
            queues.report(member.identity, snapshotOf(member), member.takenAt, now)
        }
        val identities = present.mapTo(HashSet()) { it.identity }
        reporters.filter { it !in identities }.forEach { gone ->
            reporters -= gone
            queues.forget(gone, now)
        }
    }
}

/** Returns the report that carries the rows of [snapshot]. */
internal fun entryReport(
    snapshot: UsageSnapshot,
    contact: LogContact,
    load: Map<InstanceName, Int>,
    watched: Set<InstanceName>,
): EntryReport =
    EntryReport(
        contact = contact,
        usage = snapshot.rows.associate { CellName.Usage(it.pool, teamOf(it.owner)) to it.slotTime },
        load = load,
        watched = watched,
        demand = snapshot.rows.associate {
            CellName.Queue(it.pool, teamOf(it.owner)) to Demand(it.reserve, it.waiting)
        },
    )

/** Returns the snapshot that [member] reported; its heartbeat is the sequence number. */
internal fun snapshotOf(member: MemberView): UsageSnapshot =
    UsageSnapshot(
        member.heartbeat,
        member.uses.map { UsageRow(it.pool, ownerOf(it.team), it.usage, it.slots, it.reserve, it.waiting) },
    )

private fun teamOf(owner: QueueOwner): TeamName? = (owner as? QueueOwner.Team)?.name

private fun ownerOf(team: TeamName?): QueueOwner = team?.let(QueueOwner::Team) ?: QueueOwner.Open
