package dogwoodgrade.node

import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.Producer
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

/** Shortest time between two log lines about failed attempts of one append. */
private val FAILED_APPEND_LOG_INTERVAL: Duration = 1000.milliseconds

/** Pause before an append that the store refused or did not answer is repeated. */
private val APPEND_RETRY_PAUSE: Duration = 50.milliseconds

/** Pause before an append is repeated if the store takes none of the owner's records. */
private val REFUSED_RECORD_PAUSE: Duration = 1000.milliseconds

/**
 * Appends the owner's progress to the log and renews its lease: a confirmed append proves that no other owner has
 * written before it.
 *
 * @param claimSequence sequence number of the claim, the first append of the epoch
 * @param onProgress called with the progress of jobs that has become durable
 * @param onDurable called after each append with the starts to order now, and the executors with durable ends
 */
internal class OwnerWriter(
    store: LogStore,
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
    private val otherRecords = Channel<ProgressTopicRecord>(Channel.UNLIMITED)
    private val limits = store.limits
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
        otherRecords.trySend(ProgressTopicRecord(key, value))
        notifyChanged()
    }

    /** Removes the progress of [job] with the next append. */
    fun enqueueRemoval(job: JobIdentifier) {
        val parts = jobs.progressParts(job).keys + 0
        parts.sorted().forEach { enqueueRecord(FleetRecords.progressKey(job, it), null) }
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

    private fun takeOtherRecords(): List<ProgressTopicRecord> =
        generateSequence { otherRecords.tryReceive().getOrNull() }.toList()

    /**
     * Makes a batch durable, with one call of the store or, if it is too large for one, with several.
     *
     * Nothing is ordered or acknowledged before all of them have succeeded, so that a new owner that finds a part of
     * the batch misses only what it learns again from the executors.
     */
    private suspend fun append(
        batch: ProgressBatch?,
        otherRecords: List<ProgressTopicRecord>,
        renew: Boolean,
        isLast: Boolean,
    ): Boolean {
        val changes = batch?.let { progressChangesOf(it) }.orEmpty()
        val records = otherRecords.toMutableList()
        changes.mapTo(records) { ProgressTopicRecord(it.key, it.value, it.job) }
        batch?.executors?.mapTo(
            records,
        ) { ProgressTopicRecord(FleetRecords.executorKey(it.identifier), FleetRecords.encode(it)) }
        batch?.goneExecutors?.mapTo(records) { ProgressTopicRecord(FleetRecords.executorKey(it), null) }
        if (renew ||
            records.isEmpty()
        ) {
            records += ProgressTopicRecord(FleetRecords.OWNER_KEY, FleetRecords.encode(ownRecord(isLast)))
        }
        val failedJobs = mutableSetOf<JobIdentifier>()
        var appended: RepeatedOutcome.Durable? = null
        for (call in limits.splitIntoCalls(records) { it.key to it.value }) {
            val owned =
                appendInHalves(call, ::appendUntilKnown) { items, outcome ->
                    val known =
                        if (outcome is RepeatedOutcome.Invalid) {
                            appendInstead(items.single(), outcome.reason, failedJobs)
                        } else {
                            outcome
                        }
                    appended = known as? RepeatedOutcome.Durable
                    appended != null
                }
            if (!owned) return false
        }
        val durable = checkNotNull(appended) { "an append has at least one record" }
        if (renew) renewedAt = durable.sentAt.monotonic
        if (batch != null) {
            changes.forEach { if (it.job !in failedJobs) jobs.applyProgress(it, durable.endOffset - 1) }
            failedJobs.forEach { jobs.applyProgress(failedJobRecord(it), durable.endOffset - 1) }
            onProgress(batch.progress - failedJobs)
            if (batch.forgotten.isNotEmpty()) onForgotten(batch.forgotten)
        }
        val starts = if (batch == null) emptyList() else startsAfter(batch)
        onDurable(starts, batch?.ends?.keys.orEmpty())
        return true
    }

    private fun progressChangesOf(batch: ProgressBatch): List<ProgressChange> {
        val definitions = fleet.withSchedule { schedule -> batch.progress.keys.associateWith { schedule.job(it) } }
        return batch.progress.flatMap { (identifier, progress) ->
            val job = checkNotNull(definitions[identifier]) { "progress of the unknown job $identifier" }
            progressChanges(job, progress, jobs.progressParts(identifier), limits)
        }
    }

    /**
     * Replaces a [record] that the store does not take: the failure of its job, or else the record of the owner. It is
     * at fault only if the store takes the replacement; a job whose record is at fault fails, and is added to
     * [failedJobs].
     *
     * @return the confirmed replacement, or `null` if another owner has taken over
     */
    private suspend fun appendInstead(
        record: ProgressTopicRecord,
        reason: String,
        failedJobs: MutableSet<JobIdentifier>,
    ): RepeatedOutcome.Durable? {
        val job = record.job
        val replacement =
            if (job == null) {
                ProgressTopicRecord(FleetRecords.OWNER_KEY, FleetRecords.encode(ownRecord(isLast = false)))
            } else {
                failedJobRecord(job).let { ProgressTopicRecord(it.key, it.value, job) }
            }
        logger.error { "owner: record not taken key=${record.key} bytes=${record.value?.size} reason=$reason" }
        while (true) {
            val outcome = appendUntilKnown(listOf(replacement))
            if (outcome is RepeatedOutcome.Durable) {
                if (job != null) {
                    failedJobs += job
                    fleet.withSchedule { it.giveUp(job, clock.now()) }
                }
                return outcome
            }
            if (outcome !is RepeatedOutcome.Invalid) return null
            logger.warn { "owner: no record is taken reason=${outcome.reason}" }
            delay(REFUSED_RECORD_PAUSE)
        }
    }

    private fun ownRecord(isLast: Boolean): OwnershipRecord =
        if (isLast) record.copy(resigned = true, successor = successor) else record

    private fun startsAfter(batch: ProgressBatch): List<Order.Start> {
        val now = clock.reading()
        return fleet.withSchedule { it.confirmDurable(batch, ownership.ordersUntil(now), now.monotonic) }
    }

    /** Appends [records] in one call until the outcome is known. */
    private suspend fun appendUntilKnown(records: List<ProgressTopicRecord>): RepeatedOutcome {
        val producer = Producer(OWNER_PRODUCER, record.epoch, sequence + 1)
        var loggedAt = Instant.DISTANT_PAST
        val outcome =
            appends.append(Topic.Progress, records.map { it.key to it.value }, producer) { failed, sentAt ->
                if (sentAt - loggedAt > FAILED_APPEND_LOG_INTERVAL) {
                    loggedAt = sentAt
                    logger.warn { "owner: append failed records=${records.size} outcome=$failed" }
                }
            }
        if (outcome is RepeatedOutcome.Durable) {
            sequence++
            ownership.updateLease(Lease(record.epoch, outcome.sentAt))
        }
        return outcome
    }
}

/**
 * A record of the progress topic.
 *
 * @property value content, or `null` if the record is removed
 * @property job job whose progress it is, or `null` for any other record
 */
private class ProgressTopicRecord(
    val key: String,
    val value: ByteArray?,
    val job: JobIdentifier? = null,
)
