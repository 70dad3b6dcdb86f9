package dogwoodgrade.node

import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import dogwoodgrade.scheduling.JobIdentifier
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

/** Name under which owners append; the store fences lower epochs of it. */
internal const val OWNER_PRODUCER: String = "owner"

/** Pause between two appends, in which changes gather. */
private val gatherTime: Duration = 8.milliseconds

/** Pause between two log lines about appends without an answer. */
private val logInterval: Duration = 1000.milliseconds

/** Pause before an append that the store refused or left unanswered is repeated. */
private val repeatPause: Duration = 50.milliseconds

/**
 * Makes the owner's progress durable and renews its lease: each confirmed append proves that no other owner has
 * written before it.
 *
 * @param claimSequence sequence number of the claim, the first append of the epoch
 */
internal class OwnerWriter(
    store: StoreClient,
    private val fleet: FleetTable,
    private val jobs: JobTable,
    private val ownership: OwnershipTable,
    private val record: OwnershipRecord,
    private val policy: OwnershipPolicy,
    private val clock: NodeClock,
    contact: StoreContact,
    claimSequence: Long,
    private val onForgotten: (List<JobIdentifier>) -> Unit,
    private val onDurable: (List<Order.Start>) -> Unit,
) {
    private val appends = RepeatedAppend(store, contact, clock, repeatPause)
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private val others = Channel<Pair<String, ByteArray?>>(Channel.UNLIMITED)
    private var sequence = claimSequence
    private var renewedAt = clock.now()

    @Volatile
    private var resigning = false

    /** Lets the writer look for changes. */
    fun notifyChanged() {
        changed.trySend(Unit)
    }

    /** Appends another record of the owner with the next append. */
    fun record(key: String, value: ByteArray?) {
        others.trySend(key to value)
        notifyChanged()
    }

    /** Lets the writer append a resignation as its last record. */
    fun resign() {
        resigning = true
        notifyChanged()
    }

    /** Appends until the owner resigns or another one takes over; returns why it ended. */
    suspend fun run(): String {
        while (true) {
            val pause = (renewedAt + policy.renewEvery - clock.now()).coerceAtLeast(Duration.ZERO)
            withTimeoutOrNull(pause) { changed.receive() }
            val last = resigning
            val now = clock.now()
            val batch = fleet.withSchedule { it.takeChanges(now) }
            val others = takeOthers()
            val renew = last || now - renewedAt >= policy.renewEvery / 2
            if (batch == null && others.isEmpty() && !renew) continue
            if (!append(batch, others, renew, last)) return "fenced"
            if (last) return "resigned"
            delay(gatherTime)
        }
    }

    private fun takeOthers(): List<Pair<String, ByteArray?>> = generateSequence { others.tryReceive().getOrNull() }
        .toList()

    private suspend fun append(
        batch: ProgressBatch?,
        others: List<Pair<String, ByteArray?>>,
        renew: Boolean,
        last: Boolean,
    ): Boolean {
        val records = mutableListOf<Pair<String, ByteArray?>>()
        records += others
        batch?.progress?.forEach { (job, progress) ->
            records += FleetRecords.progressKey(job) to FleetRecords.encode(progress)
        }
        batch?.executors?.forEach { records += FleetRecords.executorKey(it.identifier) to FleetRecords.encode(it) }
        batch?.goneExecutors?.forEach { records += FleetRecords.executorKey(it) to null }
        if (renew ||
            records.isEmpty()
        ) {
            records += FleetRecords.OWNER_KEY to FleetRecords.encode(record.copy(resigned = last))
        }
        val appended = appendUntilKnown(records) ?: return false
        if (renew) renewedAt = appended.sentAt
        ownership.own(Lease(record.epoch, appended.sentAt))
        if (batch != null) {
            batch.progress.forEach { (job, progress) -> jobs.applyProgress(job, progress, appended.endOffset - 1) }
            if (batch.forgotten.isNotEmpty()) onForgotten(batch.forgotten)
        }
        val starts = if (batch == null) emptyList() else startsAfter(batch)
        onDurable(starts)
        return true
    }

    private fun startsAfter(batch: ProgressBatch): List<Order.Start> =
        fleet.withSchedule { it.durable(batch, ownership.ordersUntil(), clock.now()) }

    /** Returns the confirmed append, or `null` if another owner has taken over. */
    private suspend fun appendUntilKnown(records: List<Pair<String, ByteArray?>>): KnownOutcome.Durable? {
        val producer = Producer(OWNER_PRODUCER, record.epoch, sequence + 1)
        var loggedAt = Instant.DISTANT_PAST
        val known =
            appends.append(Topic.Progress, records, producer) { outcome, sentAt ->
                if (outcome is AppendOutcome.NotDone) logger.debug { "owner: append refused reason=${outcome.reason}" }
                if (outcome is AppendOutcome.Unknown && sentAt - loggedAt > logInterval) {
                    loggedAt = sentAt
                    logger.warn { "owner: append without answer records=${records.size} reason=${outcome.reason}" }
                }
            }
        return when (known) {
            is KnownOutcome.Durable -> known.also { sequence++ }
            KnownOutcome.Fenced -> null
            is KnownOutcome.Refused -> error("an append that is repeated without end gave up: ${known.last}")
        }
    }
}
