package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
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
import kotlin.time.Duration.Companion.seconds

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

/**
 * Time after which an append without an answer is no longer repeated. Cancellations of jobs that are not in the log are
 * kept for longer, so that they still apply to a job that is appended late.
 */
private val LONGEST_REPETITION: Duration = 30.seconds

/** Longest time that a record waits behind an append of unknown outcome before its caller is refused. */
private val LONGEST_QUEUEING_TIME: Duration = 400.milliseconds

/** Outcome of the append of a record. */
internal enum class IntakeOutcome { Durable, NotDone, TooLarge, Unknown }

private enum class IntakePhase { Waiting, Sent, Withdrawn }

/** A record that waits for its append. Its phase resolves the race between the append and a caller that gives up. */
private class IntakeItem(
    val key: String,
    val value: ByteArray?,
    val queuedAt: ClockReading,
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
 * repeated under the same sequence number until its outcome is known, so that a refused record is never appended. One
 * that is given up stays unknown; the next append has a higher epoch, after which the store rejects attempts of the
 * earlier one that are still under way.
 */
internal class JobIntake(
    private val store: LogStore,
    private val producer: String,
    private val clock: NodeClock,
    storeAvailability: StoreAvailability,
) {
    private val appends =
        RepeatedAppend(store, storeAvailability, clock, ATTEMPT_PAUSE, MAX_REFUSED_ATTEMPTS, LONGEST_REPETITION)
    private val queue = Channel<IntakeItem>(RECORD_QUEUE_CAPACITY)
    private var epoch = 1L
    private var sequence = 0L

    /** Appends a record and waits at most [limit] for the outcome. */
    suspend fun append(key: String, value: ByteArray?, limit: Duration): IntakeOutcome {
        if (!store.limits.admitsRecord(key, value)) {
            logger.warn { "intake: record refused, too large key=${key.take(LONGEST_LOGGED_KEY)} bytes=${value?.size}" }
            return IntakeOutcome.TooLarge
        }
        val item = IntakeItem(key, value, clock.reading())
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
                val current = call.filter { isRecent(it) && it.send() }
                if (current.isNotEmpty()) appendBatch(current)
            }
        }
    }

    /** Returns whether [item] may still be appended. A machine that was suspended has records of long ago. */
    private fun isRecent(item: IntakeItem): Boolean {
        val recent = clock.reading().elapsedSince(item.queuedAt) <= LONGEST_REPETITION
        if (!recent && item.withdraw()) item.outcome.complete(IntakeOutcome.NotDone)
        return recent
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

    private suspend fun appendUntilKnown(batch: List<IntakeItem>): RepeatedOutcome {
        val records = batch.map { it.key to it.value }
        val outcome = appends.append(Topic.Jobs, records, Producer(producer, epoch, sequence + 1))
        if (outcome is RepeatedOutcome.Durable) sequence++
        if (outcome == RepeatedOutcome.GivenUp) {
            epoch++
            sequence = 0
        }
        return outcome
    }

    private fun answerTo(outcome: RepeatedOutcome): IntakeOutcome =
        when (outcome) {
            is RepeatedOutcome.Durable -> IntakeOutcome.Durable
            is RepeatedOutcome.Invalid -> IntakeOutcome.TooLarge
            is RepeatedOutcome.Refused -> IntakeOutcome.NotDone
            RepeatedOutcome.GivenUp -> IntakeOutcome.Unknown
            RepeatedOutcome.Fenced -> error("append of the only writer of producer $producer was $outcome")
        }
}
