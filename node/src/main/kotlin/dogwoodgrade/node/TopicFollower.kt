package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Time a read waits for records. A connection that stays silent for longer is replaced. */
private val readWait: Duration = 1500.milliseconds

/** Pause after a failed read; the store bills refused calls too. */
private val failurePause: Duration = 150.milliseconds

/**
 * Records of one read.
 *
 * @property snapshot the records are the newest of all keys, and keys that are not among them do not exist
 * @property nextOffset offset up to which the topic is known
 * @property reachedEnd the topic had no further records when it was read
 */
internal data class FollowedRecords(
    val records: List<KeyedRecord>,
    val snapshot: Boolean,
    val nextOffset: Long,
    val reachedEnd: Boolean,
)

/**
 * Follows a keyed topic from its newest records on.
 *
 * Where the records to continue with are gone, it reads the newest of each key again. A snapshot that ends before what
 * was already read is stale and is not used.
 *
 * @param pause time between two reads, in which further records gather
 */
internal class TopicFollower(
    private val store: StoreClient,
    private val topic: Topic,
    private val clock: NodeClock,
    private val pause: () -> Duration,
    private val contact: StoreContact,
    private val apply: suspend (FollowedRecords) -> Unit,
) {
    private var next: Long? = null
    private var known = 0L

    /** Follows the topic until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val from = next
            val sentAt = clock.now()
            val outcome = if (from == null) store.newest(topic) else store.read(topic, from, readWait)
            contact.observed(outcome !is ReadOutcome.Failed, sentAt, clock.now())
            when (outcome) {
                is ReadOutcome.Failed -> {
                    logger.debug { "follower: read failed topic=$topic from=$from reason=${outcome.reason}" }
                    delay(failurePause)
                }
                ReadOutcome.Trimmed -> {
                    logger.info { "follower: records gone topic=$topic from=$from, reading the newest of each key" }
                    next = null
                }
                is ReadOutcome.Records -> {
                    receive(outcome, from)
                    delay(pause())
                }
            }
        }
    }

    private suspend fun receive(outcome: ReadOutcome.Records, from: Long?) {
        if (outcome.nextOffset < known) {
            logger.warn { "follower: stale snapshot topic=$topic end=${outcome.nextOffset} known=$known" }
            delay(failurePause)
            return
        }
        known = outcome.nextOffset
        next = outcome.nextOffset
        apply(
            FollowedRecords(
                outcome.records,
                snapshot = from == null,
                nextOffset = outcome.nextOffset,
                reachedEnd = outcome.nextOffset >= outcome.endOffset,
            ),
        )
    }
}

/** Whether the store answers this process. Guarded by its own lock (number 5 in the lock order). */
internal class StoreContact(
    private val lostAfter: Duration,
) {
    private var answeredAt: Instant? = null
    private var lost = false

    /** Records the outcome of a call. */
    @Synchronized
    fun observed(answered: Boolean, sentAt: Instant, now: Instant) {
        if (answered) {
            if (lost) logger.info { "store: regained silent=${answeredAt?.let { now - it }}" }
            lost = false
            answeredAt = maxOf(answeredAt ?: sentAt, now)
        } else if (!lost && answeredAt?.let { now - it > lostAfter } != false) {
            lost = true
            logger.warn { "store: lost last_answer=${answeredAt?.let { now - it }}" }
        }
    }

    /** Tells whether the store has answered recently. */
    @Synchronized
    fun alive(now: Instant): Boolean = answeredAt?.let { now - it <= lostAfter } == true
}
