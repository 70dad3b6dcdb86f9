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
import dogwoodgrade.membership.chooseSnapshotWriter
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
 * Tasks that any entry can carry out for all: recording entries that have ended, ending quarantines and writing
 * snapshots. Several entries may do the same at once, because the fold refuses the second record.
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

    /** Runs the tasks that are due; called once a second. */
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

    /** Measures each quarantine by this entry's monotonic clock from when it saw it, so no clocks are compared. */
    private suspend fun reclaimPermits() {
        val time = now()
        val state = tables.control.state
        val quarantined = state.permits.teams.values
            .flatMap { it.quarantined.keys }
            .toSet()
        quarantinedSince.keys.retainAll(quarantined)
        for (entry in quarantined) {
            val since = quarantinedSince.getOrPut(entry) { time }
            if (time - since > state.longestTaskLease + MAX_WORKER_CLOCK_SKEW) {
                logger.info { "housekeeping: the quarantine of entry $entry is over" }
                append(ControlBody.ReclaimPermits(entry))
            }
        }
    }

    private suspend fun writeSnapshot() {
        val time = now()
        val state = tables.control.state
        val records = state.offset.value - snapshotOffset.value
        val due = records >= RECORDS_PER_SNAPSHOT || (records > 0 && time - snapshotAt >= SNAPSHOT_INTERVAL)
        if (!due || chooseSnapshotWriter(identity.name, tables.members.members(time)) != identity.name) return
        if (log.append(StreamName.Snapshots, SnapshotCodec.encode(state)) is AppendResult.Appended) {
            logger.info { "housekeeping: wrote a snapshot at offset ${state.offset}" }
            snapshotOffset = state.offset
            snapshotAt = time
        }
    }

    private companion object {
        /** Number of new records after which a snapshot is written. */
        const val RECORDS_PER_SNAPSHOT = 5_000L

        /** Time after which a snapshot is written if there are any new records. */
        val SNAPSHOT_INTERVAL: Duration = 10.minutes
    }
}

/** Time between two runs of [Housekeeping]. */
internal val HOUSEKEEPING_INTERVAL: Duration = 1.seconds
