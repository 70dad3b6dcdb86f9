package dogwoodgrade.node

import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Records that may wait to be appended; beyond it callers are refused. */
private const val WAITING_RECORDS = 512

/** Most records of one append. */
private const val RECORDS_PER_APPEND = 64

/** Attempts of an append that was refused without effect before its callers are refused. */
private const val REFUSED_ATTEMPTS = 3

/** Pause between two attempts. */
private val attemptPause: Duration = 40.milliseconds

/** Longest time that a record waits behind an append of unknown outcome before its caller is refused. */
private val longestQueueing: Duration = 400.milliseconds

/** What became of a record. */
internal enum class IntakeOutcome { Durable, NotDone, Unknown }

private enum class IntakePhase { Waiting, Sent, Withdrawn }

/** A record on its way to the log. Its phase decides the race between an append and a caller that gives up. */
private class IntakeItem(
    val key: String,
    val value: ByteArray?,
) {
    val outcome = CompletableDeferred<IntakeOutcome>()
    private val phase = AtomicReference(IntakePhase.Waiting)

    /** Returns `false` if the record was withdrawn and must not be appended. */
    fun send(): Boolean = phase.compareAndSet(IntakePhase.Waiting, IntakePhase.Sent)

    /** Returns `false` if an append with the record may have been executed. */
    fun withdraw(): Boolean = phase.compareAndSet(IntakePhase.Waiting, IntakePhase.Withdrawn)
}

/**
 * Makes submissions and cancellations durable.
 *
 * One append is under way at a time; what comes meanwhile goes into the next. An append without an answer is repeated
 * under the same sequence number until its outcome is known, so that a refusal is always true.
 */
internal class JobIntake(
    store: StoreClient,
    private val producer: String,
    clock: NodeClock,
    contact: StoreContact,
) {
    private val appends = RepeatedAppend(store, contact, clock, attemptPause, REFUSED_ATTEMPTS)
    private val queue = Channel<IntakeItem>(WAITING_RECORDS)
    private var sequence = 0L

    /** Appends a record and waits at most [limit] for the outcome. */
    suspend fun append(key: String, value: ByteArray?, limit: Duration): IntakeOutcome {
        val item = IntakeItem(key, value)
        if (!queue.trySend(item).isSuccess) return IntakeOutcome.NotDone
        val queueing = minOf(limit, longestQueueing)
        val early = withTimeoutOrNull(queueing) { item.outcome.await() }
        return when {
            early != null -> early
            // The item is not under way, so that a refusal is true.
            item.withdraw() -> IntakeOutcome.NotDone
            else -> withTimeoutOrNull(limit - queueing) { item.outcome.await() } ?: IntakeOutcome.Unknown
        }
    }

    /** Appends until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val batch = mutableListOf(queue.receive())
            while (batch.size < RECORDS_PER_APPEND) batch += queue.tryReceive().getOrNull() ?: break
            val current = batch.filter { it.send() }
            if (current.isNotEmpty()) appendBatch(current)
        }
    }

    private suspend fun appendBatch(batch: List<IntakeItem>) {
        val records = batch.map { it.key to it.value }
        val outcome =
            when (val known = appends.append(Topic.Jobs, records, Producer(producer, 1, sequence + 1))) {
                is KnownOutcome.Durable -> {
                    sequence++
                    IntakeOutcome.Durable
                }
                is KnownOutcome.Refused -> {
                    logger.warn { "intake: append refused records=${batch.size} outcome=${known.last}" }
                    IntakeOutcome.NotDone
                }
                KnownOutcome.Fenced -> error("append of a producer of its own was $known")
            }
        batch.forEach { it.outcome.complete(outcome) }
    }
}
