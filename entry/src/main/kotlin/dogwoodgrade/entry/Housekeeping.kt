package dogwoodgrade.entry

import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.membership.Liveness
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.ProbeHistory
import dogwoodgrade.membership.snapshotWriter
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import dogwoodgrade.peer.PeerClient
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/**
 * Duties that any entry can carry out for all: evidence about ended entries, the end of quarantines and snapshots.
 * Nothing breaks when several entries do the same at once, because the fold refuses the second record.
 */
internal class Housekeeping(
    private val identity: EntryIdentity,
    private val tables: EntryTables,
    private val log: LogService,
    private val peers: PeerClient,
    private val append: suspend (ControlBody) -> AppendResult,
    private val now: () -> Instant,
) {
    private val probes = HashMap<EntryIdentity, ProbeHistory>()
    private val quarantinedSince = HashMap<EntryIdentity, Instant>()
    private var snapshotOffset = Offset.Zero
    private var snapshotAt = now()

    /** Carries out what is due; called once a second. */
    suspend fun run() {
        probeSilentEntries()
        reclaimPermits()
        writeSnapshot()
    }

    private suspend fun probeSilentEntries() {
        val time = now()
        val alive =
            tables.members
                .members(time)
                .filter { it.liveness == Liveness.Alive }
                .map { it.identity }
                .toSet()
        val silent =
            tables.control.state.entries.values
                .filter { it.identity != identity && it.identity !in alive }
        probes.keys.retainAll(silent.map { it.identity }.toSet())
        for (entry in silent) probe(entry)
    }

    private suspend fun probe(entry: JoinedEntry) {
        val address = PeerAddress.parseOrNull(entry.peerAddress) ?: return
        val history = (probes[entry.identity] ?: ProbeHistory(entry.identity)).after(peers.probe(address))
        probes[entry.identity] = history
        val evidence = history.evidence() ?: return
        logger.info { "housekeeping: entry ${entry.identity} has ended, evidence: $evidence" }
        append(ControlBody.EndEntry(entry.identity, evidence.toString()))
    }

    /** The quarantine is counted on the own monotonic time from when this entry saw it, so clocks are not compared. */
    private suspend fun reclaimPermits() {
        val time = now()
        val state = tables.control.state
        val quarantined = state.permits.teams.values
            .flatMap { it.quarantined.keys }
            .toSet()
        quarantinedSince.keys.retainAll(quarantined)
        for (entry in quarantined) {
            val since = quarantinedSince.getOrPut(entry) { time }
            if (time - since > state.longestTaskLease + ClockSkew) {
                logger.info { "housekeeping: the quarantine of entry $entry is over" }
                append(ControlBody.ReclaimPermits(entry))
            }
        }
    }

    private suspend fun writeSnapshot() {
        val time = now()
        val state = tables.control.state
        val records = state.offset.value - snapshotOffset.value
        val due = records >= SNAPSHOT_RECORDS || (records > 0 && time - snapshotAt >= SnapshotInterval)
        if (!due || snapshotWriter(identity.name, tables.members.members(time)) != identity.name) return
        if (log.append(StreamName.Snapshots, SnapshotCodec.encode(state)) is AppendResult.Appended) {
            logger.info { "housekeeping: wrote a snapshot at offset ${state.offset}" }
            snapshotOffset = state.offset
            snapshotAt = time
        }
    }

    private companion object {
        /** Records after which a snapshot is written. */
        const val SNAPSHOT_RECORDS = 5_000L

        /** Time after which a snapshot is written if there are new records. */
        val SnapshotInterval: Duration = 10.minutes
    }
}

/** Time between two runs of the housekeeping. */
internal val HousekeepingInterval: Duration = 1.seconds
