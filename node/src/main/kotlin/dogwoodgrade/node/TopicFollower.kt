package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.SnapshotOutcome
import dogwoodgrade.platform.Topic
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Time for which a read waits for records. A connection without an answer for longer is replaced. */
private val READ_WAIT: Duration = 1500.milliseconds

/** Time in which the records of a read arrive, unless the store or the link is slow. */
private val LONGEST_TRANSFER_TIME: Duration = 10.milliseconds

/** Pause after a failed read; the store charges for refused calls too. */
private val READ_RETRY_PAUSE: Duration = 150.milliseconds

/**
 * Records of one read.
 *
 * @property snapshot whether the records are the newest of all keys, so that keys without a record do not exist
 * @property nextOffset offset up to which the topic has been read
 * @property reachedEnd whether the topic had no further records at the time of the read
 */
internal data class FollowedRecords(
    val records: List<KeyedRecord>,
    val snapshot: Boolean,
    val nextOffset: Long,
    val reachedEnd: Boolean,
)

/**
 * Follows a keyed topic, starting with a snapshot of the newest record of each key.
 *
 * If the store no longer has the next records, the follower reads a snapshot again. A snapshot that ends before the
 * offset already read is outdated and is discarded, as is a read.
 *
 * @param pause pause between two reads, in which records accumulate
 */
internal class TopicFollower(
    private val store: LogStore,
    private val topic: Topic,
    private val clock: NodeClock,
    private val pause: () -> Duration,
    private val storeAvailability: StoreAvailability,
    private val apply: suspend (FollowedRecords) -> Unit,
) {
    @Volatile
    private var next: Long? = null
    private var knownOffset = 0L
    private var snapshot: PartialSnapshot? = null
    private val readSignal = Channel<Unit>(Channel.CONFLATED)
    private val completedReads = MutableStateFlow(0L)

    /** Whether no read is under way, so that the topic may have records that have not been asked for. */
    @Volatile
    private var pausing = false

    /** Time up to which all records of the topic have been applied, or `null` before it has been read to its end. */
    @Volatile
    var currentAsOf: ClockReading? = null
        private set

    /** Waits until a read has completed, at most for [limit]. */
    suspend fun awaitRead(limit: Duration) {
        val before = completedReads.value
        withTimeoutOrNull(limit) { completedReads.first { it > before } }
    }

    /**
     * Waits until the records have been applied that the topic has now, at most for [limit].
     *
     * All callers wait for the same read. A read that is under way returns as soon as there is a record, so that one
     * that does not return soon has nothing to wait for.
     */
    suspend fun catchUp(limit: Duration) {
        val before = completedReads.value
        val longestWait = if (pausing) limit else minOf(limit, LONGEST_TRANSFER_TIME)
        endPause()
        withTimeoutOrNull(longestWait) { completedReads.first { it > before } }
    }

    /** Asks the store whether all records of the topic have been applied. */
    suspend fun hasNewest(): Boolean {
        val from = next ?: return false
        val outcome = store.read(topic, from, Duration.ZERO)
        return outcome is ReadOutcome.Records && outcome.records.isEmpty() && outcome.endOffset == from
    }

    /** Starts the next read at once if this follower pauses. */
    fun endPause() {
        if (pausing) readSignal.trySend(Unit)
    }

    /** Follows the topic until the coroutine is cancelled. */
    suspend fun run() {
        var wait = READ_WAIT
        while (true) {
            val from = next
            val completed = if (from == null) readSnapshotPage() else readRecords(from, wait)
            wait = READ_WAIT
            if (!completed) continue
            completedReads.value++
            if (from == null) {
                // The pages of a snapshot are of different ages until the changes made in the meantime are read.
                wait = Duration.ZERO
                continue
            }
            // Somebody waits for the end of the next read, which therefore must not wait for records.
            if (pauseOrSignal()) wait = Duration.ZERO
        }
    }

    /**
     * Reads the next page of the snapshot; one that fails is read again, the pages before it are kept.
     *
     * @return whether the whole snapshot has been read and applied
     */
    private suspend fun readSnapshotPage(): Boolean {
        val sentAt = clock.reading()
        val partial = snapshot ?: PartialSnapshot(sentAt).also { snapshot = it }
        val outcome = store.newest(topic, partial.lastKey)
        storeAvailability.recordCall(outcome !is SnapshotOutcome.Failed, sentAt.monotonic, clock.now())
        when (outcome) {
            is SnapshotOutcome.Failed -> {
                logger.warn {
                    "follower: snapshot page failed topic=$topic records=${partial.records.size} " +
                        "after=${partial.lastKey} took=${clock.now() - sentAt.monotonic} reason=${outcome.reason}"
                }
                delay(READ_RETRY_PAUSE)
                return false
            }
            is SnapshotOutcome.Page -> partial.add(outcome)
        }
        if (partial.lastKey != null) return false
        snapshot = null
        return applySnapshot(partial)
    }

    private suspend fun applySnapshot(read: PartialSnapshot): Boolean {
        val end = read.endOffset
        if (end < knownOffset) {
            logger.warn { "follower: outdated snapshot topic=$topic end=$end known=$knownOffset" }
            delay(READ_RETRY_PAUSE)
            return false
        }
        receive(FollowedRecords(read.records, snapshot = true, end, reachedEnd = true), read.startedAt)
        logger.info {
            "follower: snapshot read topic=$topic records=${read.records.size} next=$end " +
                "took=${clock.now() - read.startedAt.monotonic}"
        }
        return true
    }

    /** Reads the records from the offset [from] on. Returns whether records were read, even if there were none. */
    private suspend fun readRecords(from: Long, wait: Duration): Boolean {
        val sentAt = clock.reading()
        val outcome = store.read(topic, from, wait)
        storeAvailability.recordCall(outcome !is ReadOutcome.Failed, sentAt.monotonic, clock.now())
        when (outcome) {
            is ReadOutcome.Failed -> {
                logger.debug { "follower: read failed topic=$topic from=$from reason=${outcome.reason}" }
                delay(READ_RETRY_PAUSE)
            }
            ReadOutcome.Trimmed -> {
                logger.info {
                    "follower: records no longer kept topic=$topic from=$from, reading the newest of each key"
                }
                next = null
            }
            is ReadOutcome.Records -> {
                if (outcome.isOutdated(from)) {
                    logger.warn { "follower: outdated read topic=$topic from=$from end=${outcome.endOffset}" }
                    delay(READ_RETRY_PAUSE)
                    return false
                }
                val reachedEnd = outcome.nextOffset >= outcome.endOffset
                receive(FollowedRecords(outcome.records, snapshot = false, outcome.nextOffset, reachedEnd), sentAt)
                return true
            }
        }
        return false
    }

    /** Pauses between two reads. Returns whether [catchUp] ended the pause. */
    private suspend fun pauseOrSignal(): Boolean {
        pausing = true
        val signalled = withTimeoutOrNull(pause()) { readSignal.receive() } != null
        pausing = false
        return signalled
    }

    private suspend fun receive(followed: FollowedRecords, sentAt: ClockReading) {
        knownOffset = followed.nextOffset
        next = followed.nextOffset
        apply(followed)
        // A read that waited for records may have been answered right after it arrived.
        if (followed.reachedEnd) currentAsOf = sentAt
    }
}

/** Tells whether the topic ended before [from] when it was read, though it has been read up to there before. */
internal fun ReadOutcome.Records.isOutdated(from: Long): Boolean = endOffset < from

/**
 * Pages of a snapshot that have been read.
 *
 * @property startedAt time at which the first page was asked for
 */
private class PartialSnapshot(val startedAt: ClockReading) {
    val records = mutableListOf<KeyedRecord>()

    /** Key after which the next page begins, or `null` before the first and after the last page. */
    var lastKey: String? = null
        private set

    /** End of the topic when the first page was read; later changes are read from there on. */
    var endOffset = 0L
        private set
    private var started = false

    fun add(page: SnapshotOutcome.Page) {
        if (!started) endOffset = page.endOffset
        started = true
        records += page.records
        lastKey = page.lastKey
    }
}

/**
 * Tracks whether the store answers this process.
 *
 * Guarded by its own lock (number 5 in the lock order of the node process).
 */
internal class StoreAvailability(
    private val silenceLimit: Duration,
) {
    private var answeredAt: Instant? = null
    private var lost = false

    /** Records whether a call that was sent at [sentAt] has been answered. */
    @Synchronized
    fun recordCall(answered: Boolean, sentAt: Instant, now: Instant) {
        if (answered) {
            if (lost) logger.info { "store: regained silent=${answeredAt?.let { now - it }}" }
            lost = false
            answeredAt = maxOf(answeredAt ?: sentAt, now)
        } else if (!lost && answeredAt?.let { now - it > silenceLimit } != false) {
            lost = true
            logger.warn { "store: lost last_answer=${answeredAt?.let { now - it }}" }
        }
    }

    /** Tells whether the store has answered within the silence limit. */
    @Synchronized
    fun isAvailable(now: Instant): Boolean = answeredAt?.let { now - it <= silenceLimit } == true
}
