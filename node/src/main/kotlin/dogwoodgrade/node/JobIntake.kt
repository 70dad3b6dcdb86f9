package dogwoodgrade.node

import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.Topic
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Largest number of records that wait to be appended; further callers are refused. */
private const val RECORD_QUEUE_CAPACITY = 512

/** Largest number of records in one append. */
private const val MAX_RECORDS_PER_APPEND = 64

/** Number of attempts refused without effect after which the callers of an append are refused. */
private const val MAX_REFUSED_ATTEMPTS = 3

/** Pause between two attempts of an append. */
private val ATTEMPT_PAUSE: Duration = 40.milliseconds

/** Number of characters of a refused key that are logged. */
private const val LONGEST_LOGGED_KEY = 80

/** Longest time that a record waits behind an append of unknown outcome before its caller is refused. */
private val LONGEST_QUEUEING_TIME: Duration = 400.milliseconds

/** Outcome of the append of a record. */
internal enum class IntakeOutcome { Durable, NotDone, TooLarge, Unknown }

private enum class IntakePhase { Waiting, Sent, Withdrawn }

/** A record that waits for its append. Its phase resolves the race between the append and a caller that gives up. */
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
 * One append is under way at a time; records that arrive meanwhile go into the next one. An append without an answer is
 * repeated under the same sequence number until its outcome is known, so that a refused record is never appended.
 */
internal class JobIntake(
    private val store: LogStore,
    private val producer: String,
    clock: NodeClock,
    storeAvailability: StoreAvailability,
) {
    private val appends = RepeatedAppend(store, storeAvailability, clock, ATTEMPT_PAUSE, MAX_REFUSED_ATTEMPTS)
    private val queue = Channel<IntakeItem>(RECORD_QUEUE_CAPACITY)
    private var sequence = 0L

    /** Appends a record and waits at most [limit] for the outcome. */
    suspend fun append(key: String, value: ByteArray?, limit: Duration): IntakeOutcome {
        if (!store.limits.admitsRecord(key, value)) {
            logger.warn { "intake: record refused, too large key=${key.take(LONGEST_LOGGED_KEY)} bytes=${value?.size}" }
            return IntakeOutcome.TooLarge
        }
        val item = IntakeItem(key, value)
        if (!queue.trySend(item).isSuccess) return IntakeOutcome.NotDone
        val queueingLimit = minOf(limit, LONGEST_QUEUEING_TIME)
        val earlyOutcome = withTimeoutOrNull(queueingLimit) { item.outcome.await() }
        return when {
            earlyOutcome != null -> earlyOutcome
            // The record was not sent and will not be, so that the caller can be refused.
            item.withdraw() -> IntakeOutcome.NotDone
            else -> withTimeoutOrNull(limit - queueingLimit) { item.outcome.await() } ?: IntakeOutcome.Unknown
        }
    }

    /** Appends until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val batch = mutableListOf(queue.receive())
            while (batch.size < MAX_RECORDS_PER_APPEND) batch += queue.tryReceive().getOrNull() ?: break
            for (call in store.limits.splitIntoCalls(batch) { it.key to it.value }) {
                val current = call.filter { it.send() }
                if (current.isNotEmpty()) appendBatch(current)
            }
        }
    }

    private suspend fun appendBatch(batch: List<IntakeItem>) {
        appendInHalves(batch, ::appendUntilKnown) { items, outcome ->
            val answer = answerTo(outcome)
            if (answer != IntakeOutcome.Durable) {
                logger.warn { "intake: append refused records=${items.size} outcome=$outcome" }
            }
            items.forEach { it.outcome.complete(answer) }
            true
        }
    }

    private suspend fun appendUntilKnown(batch: List<IntakeItem>): KnownOutcome {
        val records = batch.map { it.key to it.value }
        val outcome = appends.append(Topic.Jobs, records, Producer(producer, 1, sequence + 1))
        if (outcome is KnownOutcome.Durable) sequence++
        return outcome
    }

    private fun answerTo(outcome: KnownOutcome): IntakeOutcome =
        when (outcome) {
            is KnownOutcome.Durable -> IntakeOutcome.Durable
            is KnownOutcome.Invalid -> IntakeOutcome.TooLarge
            is KnownOutcome.Refused -> IntakeOutcome.NotDone
            KnownOutcome.Fenced -> error("append of the only writer of producer $producer was $outcome")
        }
}
