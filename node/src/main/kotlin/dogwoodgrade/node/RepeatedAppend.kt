package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.Topic
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Time for the answer to each attempt of an append, the last one for all further ones. The store answers within some
 * milliseconds, or a quarter of a second when it is slow. An answer that is lost never comes, and an owner that waits
 * for it for a second loses its lease.
 */
private val ATTEMPT_TIMEOUTS: List<Duration> = listOf(300, 500, 900).map { it.milliseconds }

/** Outcome of an append that was repeated until its outcome was known, or until its time limit. */
internal sealed interface RepeatedOutcome {
    /**
     * The records are durable.
     *
     * @property sentAt time at which the first attempt of unknown outcome was sent, or else the confirmed attempt
     * @property endOffset end offset of the topic after the records
     */
    data class Durable(
        val sentAt: ClockReading,
        val endOffset: Long,
    ) : RepeatedOutcome

    /** A writer with a higher epoch has taken over; nothing was appended. */
    data object Fenced : RepeatedOutcome

    /** The store never takes the records. Nothing was appended, and the sequence number can be used again. */
    data class Invalid(val reason: String) : RepeatedOutcome

    /** The store refused every attempt, and no attempt can have been executed. */
    data class Refused(val last: AppendOutcome) : RepeatedOutcome

    /**
     * The time limit has passed. An attempt may have been executed, or may still be until the writer appends under a
     * higher epoch.
     */
    data object GivenUp : RepeatedOutcome
}

/**
 * Appends records under one sequence number until the outcome is known.
 *
 * An attempt without an answer may have been executed, or may still be, so that it is repeated; the store recognises
 * the repetition by the sequence number.
 *
 * @property pause pause between two attempts
 * @property maximumRefusals number of refused attempts after which it gives up, unless another attempt has no answer
 * @property timeLimit time after the first attempt without an answer, including suspensions, after which no further
 * attempt is sent
 */
internal class RepeatedAppend(
    private val store: LogStore,
    private val storeAvailability: StoreAvailability,
    private val clock: NodeClock,
    private val pause: Duration,
    private val maximumRefusals: Int = Int.MAX_VALUE,
    private val timeLimit: Duration = Duration.INFINITE,
) {
    /** Appends [records]. Calls [onFailure] with the outcome and the sending time of each failed attempt. */
    suspend fun append(
        topic: Topic,
        records: List<Pair<String, ByteArray?>>,
        producer: Producer,
        onFailure: (AppendOutcome, Instant) -> Unit = { _, _ -> },
    ): RepeatedOutcome {
        var uncertainSince: ClockReading? = null
        var refused = 0
        var attempts = 0
        while (true) {
            val sentAt = clock.reading()
            if (uncertainSince != null &&
                sentAt.elapsedSince(uncertainSince) > timeLimit
            ) {
                return RepeatedOutcome.GivenUp
            }
            val timeout = ATTEMPT_TIMEOUTS[minOf(attempts++, ATTEMPT_TIMEOUTS.lastIndex)]
            val outcome = store.append(topic, records, producer, timeout = timeout)
            storeAvailability.recordCall(outcome.answered, sentAt.monotonic, clock.now())
            when (outcome) {
                is AppendOutcome.Appended -> return RepeatedOutcome.Durable(uncertainSince ?: sentAt, outcome.endOffset)
                AppendOutcome.Fenced -> return RepeatedOutcome.Fenced
                is AppendOutcome.Unknown -> uncertainSince = uncertainSince ?: sentAt
                is AppendOutcome.Invalid -> Unit
                is AppendOutcome.NotAppended -> refused++
                is AppendOutcome.EndMoved -> error("append without an expected end offset was $outcome")
            }
            onFailure(outcome, sentAt.monotonic)
            if (outcome is AppendOutcome.Invalid) return RepeatedOutcome.Invalid(outcome.reason)
            if (uncertainSince == null && refused >= maximumRefusals) return RepeatedOutcome.Refused(outcome)
            delay(pause)
        }
    }
}

/**
 * Appends [items] with [append]. Those that the store does not take together are appended in halves, so that one at
 * fault does not keep the others from becoming durable. Each outcome is passed to [settle] with its items: one item if
 * the store does not take it.
 *
 * @return whether [settle] has returned `true` for all; what follows one for which it did not is left out
 */
internal suspend fun <T> appendInHalves(
    items: List<T>,
    append: suspend (List<T>) -> RepeatedOutcome,
    settle: suspend (List<T>, RepeatedOutcome) -> Boolean,
): Boolean {
    val outcome = append(items)
    if (outcome !is RepeatedOutcome.Invalid || items.size == 1) return settle(items, outcome)
    return items.chunked((items.size + 1) / 2).all { appendInHalves(it, append, settle) }
}
