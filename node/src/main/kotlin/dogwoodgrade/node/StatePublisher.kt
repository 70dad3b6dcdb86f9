package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.SnapshotOutcome
import dogwoodgrade.platform.Topic
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobState
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Pause between two appends, in which states accumulate; callers see a state later by half of it at the mean. */
private val STATE_GATHER_PAUSE: Duration = 40.milliseconds

/** Longest time between two appends, each of which is a sign of life of the owner. */
private val SIGN_OF_LIFE_INTERVAL: Duration = 300.milliseconds

/** Pause before an append that the store refused or did not answer is repeated. */
private val STATE_RETRY_PAUSE: Duration = 100.milliseconds

/** Largest number of changes in one append. */
private const val MAX_STATES_PER_APPEND = 4000

/** Number of failed reads of the summary after which a new owner publishes all states anew. */
private const val MAX_LOAD_FAILURES = 3

/** Shortest time between two log lines about failed attempts of one append. */
private val FAILURE_LOG_INTERVAL: Duration = 1000.milliseconds

/** A change of the summary. */
private sealed interface SummaryChange {
    /** A job was accepted; it may be known already, since its record can occur twice in the log. */
    data class Accepted(
        val job: JobIdentifier,
        val queue: String,
    ) : SummaryChange

    data class Changed(
        val job: JobIdentifier,
        val state: JobState,
    ) : SummaryChange

    data class Removed(val job: JobIdentifier) : SummaryChange

    /** The jobs that the log has; the owner before may have ended before it removed the states of others. */
    data class Existing(val jobs: Set<JobIdentifier>) : SummaryChange

    /** All jobs that were accepted before [offset] in the jobs topic are in the summary. */
    data class Position(val offset: Long) : SummaryChange
}

/**
 * Appends queue and state of each job to the summary while this process owns the fleet.
 *
 * Jobs and progress name payloads, steps and runs, and are a hundred times as long, more than the link of a weak
 * machine carries. A state is published only when the progress that it is part of is durable.
 *
 * @param queueOf returns the queue of a job, or `null` if the job is not known
 */
internal class StatePublisher(
    private val store: LogStore,
    storeAvailability: StoreAvailability,
    private val clock: NodeClock,
    private val record: OwnershipRecord,
    private val queueOf: (JobIdentifier) -> String?,
) {
    private val appends = RepeatedAppend(store, storeAvailability, clock, STATE_RETRY_PAUSE)
    private val changes = Channel<SummaryChange>(Channel.UNLIMITED)
    private val published = mutableMapOf<JobIdentifier, PublishedState>()
    private val loaded = CompletableDeferred<Unit>()
    private var sequence = 0L
    private var appendedAt = clock.now()

    /** Publishes a job that was accepted. */
    fun publishAccepted(job: JobIdentifier, queue: String) {
        changes.trySend(SummaryChange.Accepted(job, queue))
    }

    /** Publishes the state of a job. */
    fun publish(job: JobIdentifier, state: JobState) {
        changes.trySend(SummaryChange.Changed(job, state))
    }

    /** Removes the state of a job that is forgotten. */
    fun remove(job: JobIdentifier) {
        changes.trySend(SummaryChange.Removed(job))
    }

    /** Waits until no earlier owner can publish any more, and what they have published is known. */
    suspend fun awaitLoaded() = loaded.await()

    /**
     * Removes the states of all jobs but [jobs], which are all that the log has. They have to be read after
     * [awaitLoaded] has returned, because an earlier owner publishes later jobs until then.
     */
    fun retain(jobs: Set<JobIdentifier>) {
        changes.trySend(SummaryChange.Existing(jobs))
    }

    /** Publishes that all jobs before [offset] in the jobs topic have been published. */
    fun publishPosition(offset: Long) {
        changes.trySend(SummaryChange.Position(offset))
    }

    /** Appends until another owner has taken over or the coroutine is cancelled. */
    suspend fun run() {
        // The first append fences the previous owner, so that what is read after it does not change any more.
        if (!append(emptyList()) || !loadPublished()) return
        loaded.complete(Unit)
        while (true) {
            val first = withTimeoutOrNull(SIGN_OF_LIFE_INTERVAL) { changes.receive() }
            if (!append(recordsOf(listOfNotNull(first) + waitingChanges()))) return
            delay(STATE_GATHER_PAUSE)
        }
    }

    /**
     * Appends [records] and the owner's record, with as many calls as they need.
     *
     * @return `false` if another owner has taken over
     */
    private suspend fun append(records: List<Pair<String, ByteArray?>>): Boolean {
        val owner = FleetRecords.OWNER_KEY to FleetRecords.encode(record)
        val calls = store.limits.splitIntoCalls(records + owner) { it }
        val durable = calls.all { call -> appendInHalves(call, ::appendUntilKnown, ::settle) }
        appendedAt = clock.now()
        return durable
    }

    /** Leaves out a state that the store does not take: instances that read the progress show it as well. */
    private fun settle(records: List<Pair<String, ByteArray?>>, outcome: RepeatedOutcome): Boolean {
        if (outcome is RepeatedOutcome.Invalid) {
            logger.error { "owner: state not taken key=${records.single().first} reason=${outcome.reason}" }
            return true
        }
        val durable = outcome is RepeatedOutcome.Durable
        if (!durable) logger.info { "owner: states no longer published epoch=${record.epoch} outcome=$outcome" }
        return durable
    }

    private suspend fun appendUntilKnown(records: List<Pair<String, ByteArray?>>): RepeatedOutcome {
        val producer = Producer(OWNER_PRODUCER, record.epoch, sequence + 1)
        var loggedAt = appendedAt
        val outcome =
            appends.append(Topic.States, records, producer) { failed, sentAt ->
                if (sentAt - loggedAt > FAILURE_LOG_INTERVAL) {
                    loggedAt = sentAt
                    logger.warn { "owner: states not appended records=${records.size} outcome=$failed" }
                }
            }
        if (outcome is RepeatedOutcome.Durable) sequence++
        return outcome
    }

    /**
     * Reads what earlier owners have published, so that only differences are published. Without signs of life
     * meanwhile, the instances that follow the summary would take the owner for silent.
     *
     * @return `false` if another owner has taken over
     */
    private suspend fun loadPublished(): Boolean {
        var after: String? = null
        var failures = 0
        while (failures < MAX_LOAD_FAILURES) {
            when (val outcome = store.newest(Topic.States, after)) {
                is SnapshotOutcome.Failed -> {
                    failures++
                    delay(STATE_RETRY_PAUSE)
                }
                is SnapshotOutcome.Page -> {
                    outcome.records.forEach { loadState(it) }
                    after = outcome.lastKey ?: break
                }
            }
            if (clock.now() - appendedAt > SIGN_OF_LIFE_INTERVAL && !append(emptyList())) return false
        }
        logger.info { "owner: states loaded epoch=${record.epoch} jobs=${published.size} failures=$failures" }
        return true
    }

    private fun loadState(record: KeyedRecord) {
        val job = FleetRecords.stateJobOf(record.key) ?: return
        record.value?.let { FleetRecords.decodeState(it) }?.let { published[job] = it }
    }

    private fun waitingChanges(): List<SummaryChange> =
        generateSequence { changes.tryReceive().getOrNull() }.take(MAX_STATES_PER_APPEND).toList()

    /**
     * Returns the records of [changes]. The position comes last, because readers may see only the first of them: those
     * of some of several calls, or those that fit into one read.
     */
    private fun recordsOf(changes: List<SummaryChange>): List<Pair<String, ByteArray?>> {
        val records = linkedMapOf<String, ByteArray?>()
        var position: Long? = null
        for (change in changes) {
            when (change) {
                is SummaryChange.Accepted ->
                    if (change.job !in published) put(change.job, JobState.Queued, change.queue, records)
                is SummaryChange.Changed -> {
                    val known = published[change.job]
                    val queue = known?.queue ?: queueOf(change.job)
                    if (queue != null && known?.state != change.state) put(change.job, change.state, queue, records)
                }
                is SummaryChange.Removed -> remove(change.job, records)
                is SummaryChange.Existing -> (published.keys - change.jobs).forEach { remove(it, records) }
                is SummaryChange.Position -> position = change.offset
            }
        }
        return records.toList() +
            listOfNotNull(position?.let { FleetRecords.JOBS_POSITION_KEY to FleetRecords.encodePosition(it) })
    }

    private fun remove(job: JobIdentifier, records: MutableMap<String, ByteArray?>) {
        published -= job
        records[FleetRecords.stateKey(job)] = null
    }

    private fun put(job: JobIdentifier, state: JobState, queue: String, records: MutableMap<String, ByteArray?>) {
        val value = PublishedState(state, queue)
        published[job] = value
        records[FleetRecords.stateKey(job)] = FleetRecords.encode(value)
    }
}
