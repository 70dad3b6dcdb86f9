package dogwoodgrade.entry

import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.control.ControlTable
import dogwoodgrade.control.RawRecord
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.ReadResult
import dogwoodgrade.logclient.StoredRecord
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.valueOrNull
import dogwoodgrade.peer.FetchAnswer
import dogwoodgrade.peer.FetchContent
import dogwoodgrade.peer.FetchRequest
import dogwoodgrade.peer.PeerClient
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/**
 * Keeps the folded state up to date from the log, and from peers while the log is unreachable or a peer is ahead.
 *
 * @param onChanged called after the state has advanced
 */
internal class LogFollower(
    private val log: LogService,
    private val peers: PeerClient,
    private val table: ControlTable,
    private val freshness: AtomicFreshness,
    private val now: () -> Instant,
    private val onChanged: () -> Unit,
) {
    @Volatile
    private var logReachable = true

    /** Reads the log until the coroutine is cancelled. */
    suspend fun follow() {
        while (true) {
            val reached = readOnce()
            if (reached != logReachable) {
                logReachable = reached
                if (reached) {
                    logger.info {
                        "follower: the log is reachable"
                    }
                } else {
                    logger.warn { "follower: the log cannot be reached" }
                }
            }
            if (!reached) delay(RETRY_DELAY)
        }
    }

    /** Brings the state up to date from the newest snapshot and the tail of the log; called once at the start. */
    suspend fun bootstrap(): Boolean = installNewestSnapshot() && readOnce()

    private suspend fun readOnce(): Boolean {
        val from = table.state.offset
        val requestedAt = now()
        return when (val result = log.read(StreamName.Control, from, MAX_RECORDS_PER_READ, LONG_POLL_WAIT)) {
            is ReadResult.Records -> {
                fold(result.records)
                // An empty long poll returns after its wait, so the head of the log is known as of the end of the wait.
                val asOf = if (result.records.isEmpty()) minOf(requestedAt + LONG_POLL_WAIT, now()) else requestedAt
                if (table.state.offset >= result.end) freshness.update { it.confirmed(asOf) }
                true
            }
            // Without a snapshot that reaches the first kept record only a peer can help, so the next read waits.
            is ReadResult.Dropped -> installNewestSnapshot() && table.state.offset >= result.first
            is ReadResult.Unreachable -> false
        }
    }

    private fun fold(records: List<StoredRecord>) {
        if (records.isEmpty()) return
        if (table.fold(records.map { RawRecord(it.offset, it.data) }) > 0) onChanged()
    }

    private suspend fun installNewestSnapshot(): Boolean {
        val end = endOf(StreamName.Snapshots) ?: return false
        if (end == Offset.Zero) return true
        val last = log.read(StreamName.Snapshots, Offset(end.value - 1), 1, Duration.ZERO)
        val data = (last as? ReadResult.Records)?.records?.firstOrNull()?.data ?: return false
        when (val snapshot = SnapshotCodec.decode(data)) {
            is Outcome.Failure -> {
                logger.error { "follower: the newest snapshot cannot be decoded: ${snapshot.message}" }
                return false
            }
            is Outcome.Success -> if (table.install(snapshot.value)) onChanged()
        }
        return true
    }

    private suspend fun endOf(stream: StreamName): Offset? =
        when (val result = log.read(stream, Offset.Zero, 1, Duration.ZERO)) {
            is ReadResult.Records -> result.end
            is ReadResult.Dropped -> (log.read(stream, result.first, 1, Duration.ZERO) as? ReadResult.Records)?.end
            is ReadResult.Unreachable -> null
        }

    /** Fetches the records that the peer at [address] has beyond this state. Returns whether the peer answered. */
    suspend fun fetchFrom(address: PeerAddress): Boolean {
        while (true) {
            val from = table.state.offset
            val requestedAt = now()
            val answer =
                peers.fetch(address, FetchRequest(from, MAX_RECORDS_PER_READ, MAX_FETCH_BYTES)).valueOrNull()
                    ?: return false
            val advanced = applyContent(answer.content, from)
            confirm(answer, requestedAt)
            if (!advanced || table.state.offset >= answer.contact.appliedOffset) return true
        }
    }

    private fun applyContent(content: FetchContent, from: Offset): Boolean {
        val advanced =
            when (content) {
                is FetchContent.Records ->
                    table.fold(
                        content.records.mapIndexed { index, data -> RawRecord(Offset(from.value + index), data) },
                    ) > 0
                is FetchContent.Snapshot -> SnapshotCodec.decode(content.state).valueOrNull()?.let(table::install)
                    ?: false
            }
        if (advanced) onChanged()
        return advanced
    }

    private fun confirm(answer: FetchAnswer, requestedAt: Instant) {
        val age = answer.contact.age ?: return
        if (table.state.offset >= answer.contact.appliedOffset) freshness.update { it.confirmed(requestedAt, age) }
    }

    private companion object {
        const val MAX_RECORDS_PER_READ = 500
        const val MAX_FETCH_BYTES = 512 * 1024

        /** Wait of a long poll of the log; also the age that a fresh contact reaches. */
        val LONG_POLL_WAIT = 1.seconds

        /** Delay before the next read after the log was unreachable. */
        val RETRY_DELAY = 250.milliseconds
    }
}
