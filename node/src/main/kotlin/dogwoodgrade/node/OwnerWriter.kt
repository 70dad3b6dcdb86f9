package dogwoodgrade.node

import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.Order
import dogwoodgrade.scheduling.ProgressBatch
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Producer name of all owners; the store fences appends with a lower epoch. */
internal const val OWNER_PRODUCER: String = "owner"

/** Pause between two appends, in which changes accumulate. */
private val APPEND_GATHER_PAUSE: Duration = 8.milliseconds

/** Shortest time between two log lines about unanswered attempts of one append. */
private val UNANSWERED_APPEND_LOG_INTERVAL: Duration = 1000.milliseconds

/** Pause before an append that the store refused or did not answer is repeated. */
private val APPEND_RETRY_PAUSE: Duration = 50.milliseconds

/**
 * Appends the owner's progress to the log and renews its lease: a confirmed append proves that no other owner has
 * written before it.
 *
 * @param claimSequence sequence number of the claim, the first append of the epoch
 * @param onProgress called with the progress of jobs that has become durable
 * @param onDurable called after each append with the starts to order now, and the executors with durable ends
 */
internal class OwnerWriter(
    store: StoreClient,
    private val fleet: FleetTable,
    private val jobs: JobTable,
    private val ownership: OwnershipTable,
    private val record: OwnershipRecord,
    private val policy: OwnershipPolicy,
    private val clock: NodeClock,
    storeAvailability: StoreAvailability,
    claimSequence: Long,
    private val onForgotten: (List<JobIdentifier>) -> Unit,
    private val onProgress: (Map<JobIdentifier, JobProgress>) -> Unit,
    private val onDurable: (List<Order.Start>, Set<ExecutorIdentifier>) -> Unit,
) {
    private val appends = RepeatedAppend(store, storeAvailability, clock, APPEND_RETRY_PAUSE)
    private val changeSignal = Channel<Unit>(Channel.CONFLATED)
    private val otherRecords = Channel<Pair<String, ByteArray?>>(Channel.UNLIMITED)
    private var sequence = claimSequence
    private var renewedAt = clock.now()

    @Volatile
    private var resigning = false

    @Volatile
    private var successor: String? = null

    /** Makes the writer check for changes. */
    fun notifyChanged() {
        changeSignal.trySend(Unit)
    }

    /** Adds a record to the next append. */
    fun enqueueRecord(key: String, value: ByteArray?) {
        otherRecords.trySend(key to value)
        notifyChanged()
    }

    /** Makes the writer append a resignation as its last record, in favour of [successor] if one is named. */
    fun resign(successor: String?) {
        this.successor = successor
        resigning = true
        notifyChanged()
    }

    /** Appends until the owner resigns or another one takes over. Returns the reason why it ended. */
    suspend fun run(): String {
        while (true) {
            val pause = (renewedAt + policy.renewalInterval - clock.now()).coerceAtLeast(Duration.ZERO)
            withTimeoutOrNull(pause) { changeSignal.receive() }
            val isLast = resigning
            val now = clock.now()
            val batch = fleet.withSchedule { it.takeChanges(now) }
            val otherRecords = takeOtherRecords()
            val renew = isLast || now - renewedAt >= policy.renewalInterval / 2
            if (batch == null && otherRecords.isEmpty() && !renew) continue
            if (!append(batch, otherRecords, renew, isLast)) return "fenced"
            if (isLast) return "resigned"
            delay(APPEND_GATHER_PAUSE)
        }
    }

    private fun takeOtherRecords(): List<Pair<String, ByteArray?>> =
        generateSequence { otherRecords.tryReceive().getOrNull() }.toList()

    private suspend fun append(
        batch: ProgressBatch?,
        otherRecords: List<Pair<String, ByteArray?>>,
        renew: Boolean,
        isLast: Boolean,
    ): Boolean {
        val records = mutableListOf<Pair<String, ByteArray?>>()
        records += otherRecords
        batch?.progress?.forEach { (job, progress) ->
            records += FleetRecords.progressKey(job) to FleetRecords.encode(progress)
        }
        batch?.executors?.forEach { records += FleetRecords.executorKey(it.identifier) to FleetRecords.encode(it) }
        batch?.goneExecutors?.forEach { records += FleetRecords.executorKey(it) to null }
        if (renew ||
            records.isEmpty()
        ) {
            records += FleetRecords.OWNER_KEY to FleetRecords.encode(ownRecord(isLast))
        }
        val appended = appendUntilKnown(records) ?: return false
        if (renew) renewedAt = appended.sentAt
        ownership.updateLease(Lease(record.epoch, appended.sentAt))
        if (batch != null) {
            batch.progress.forEach { (job, progress) -> jobs.applyProgress(job, progress, appended.endOffset - 1) }
            onProgress(batch.progress)
            if (batch.forgotten.isNotEmpty()) onForgotten(batch.forgotten)
        }
        val starts = if (batch == null) emptyList() else startsAfter(batch)
        onDurable(starts, batch?.ends?.keys.orEmpty())
        return true
    }

    private fun ownRecord(isLast: Boolean): OwnershipRecord =
        if (isLast) record.copy(resigned = true, successor = successor) else record

    private fun startsAfter(batch: ProgressBatch): List<Order.Start> =
        fleet.withSchedule { it.confirmDurable(batch, ownership.ordersUntil(), clock.now()) }

    /** Returns the confirmed append, or `null` if another owner has taken over. */
    private suspend fun appendUntilKnown(records: List<Pair<String, ByteArray?>>): KnownOutcome.Durable? {
        val producer = Producer(OWNER_PRODUCER, record.epoch, sequence + 1)
        var loggedAt = Instant.DISTANT_PAST
        val appendOutcome =
            appends.append(Topic.Progress, records, producer) { outcome, sentAt ->
                if (outcome is AppendOutcome.NotAppended) {
                    logger.debug {
                        "owner: append refused reason=${outcome.reason}"
                    }
                }
                if (outcome is AppendOutcome.Unknown && sentAt - loggedAt > UNANSWERED_APPEND_LOG_INTERVAL) {
                    loggedAt = sentAt
                    logger.warn { "owner: append without answer records=${records.size} reason=${outcome.reason}" }
                }
            }
        return when (appendOutcome) {
            is KnownOutcome.Durable -> appendOutcome.also { sequence++ }
            KnownOutcome.Fenced -> null
            is KnownOutcome.Refused -> error("append with unlimited attempts was refused: ${appendOutcome.last}")
        }
    }
}
