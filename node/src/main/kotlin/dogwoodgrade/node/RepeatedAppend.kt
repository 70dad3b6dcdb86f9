package dogwoodgrade.node

import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Instant

/** What became of an append that was repeated until its outcome was known. */
internal sealed interface KnownOutcome {
    /**
     * The records are durable.
     *
     * @property sentAt when the first attempt was sent whose outcome was not known, or else the confirmed one
     * @property endOffset end of the topic after them
     */
    data class Durable(
        val sentAt: Instant,
        val endOffset: Long,
    ) : KnownOutcome

    /** A writer with a higher epoch has taken over; nothing was appended. */
    data object Fenced : KnownOutcome

    /** The store refused every attempt, and no attempt can have been executed. */
    data class Refused(val last: AppendOutcome) : KnownOutcome
}

/**
 * Appends records under one sequence number until the outcome is known.
 *
 * An attempt without an answer may have been executed, or may be later, so that it is repeated for as long as it takes;
 * the store recognises the repetition.
 *
 * @property pause time between two attempts
 * @property refusals refused attempts after which it gives up, unless one of them has no answer
 */
internal class RepeatedAppend(
    private val store: StoreClient,
    private val contact: StoreContact,
    private val clock: NodeClock,
    private val pause: Duration,
    private val refusals: Int = Int.MAX_VALUE,
) {
    /** Appends [records]; [onFailure] receives each attempt that did not succeed, with the time it was sent. */
    suspend fun append(
        topic: Topic,
        records: List<Pair<String, ByteArray?>>,
        producer: Producer,
        onFailure: (AppendOutcome, Instant) -> Unit = { _, _ -> },
    ): KnownOutcome {
        var uncertainSince: Instant? = null
        var refused = 0
        while (true) {
            val sentAt = clock.now()
            val outcome = store.append(topic, records, producer)
            contact.observed(outcome.answered, sentAt, clock.now())
            when (outcome) {
                is AppendOutcome.Appended -> return KnownOutcome.Durable(uncertainSince ?: sentAt, outcome.endOffset)
                AppendOutcome.Fenced -> return KnownOutcome.Fenced
                is AppendOutcome.Unknown -> uncertainSince = uncertainSince ?: sentAt
                is AppendOutcome.NotDone -> refused++
                is AppendOutcome.EndMoved -> error("unconditional append was $outcome")
            }
            onFailure(outcome, sentAt)
            if (uncertainSince == null && refused >= refusals) return KnownOutcome.Refused(outcome)
            delay(pause)
        }
    }
}
