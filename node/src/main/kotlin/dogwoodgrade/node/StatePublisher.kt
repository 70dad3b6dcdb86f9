package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobState
import io.github.oshai.kotlinlogging.KotlinLogging
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

/** Largest number of states in one append, which the store bounds in bytes. */
private const val MAX_STATES_PER_APPEND = 4000

/**
 * Appends the states of jobs to the summary of the progress while this process owns the fleet.
 *
 * The progress names every run and is a hundred times as long, more than the link of a weak machine carries. A state is
 * published only when the progress that it is part of is durable.
 */
internal class StatePublisher(
    store: StoreClient,
    storeAvailability: StoreAvailability,
    clock: NodeClock,
    private val record: OwnershipRecord,
) {
    private val appends = RepeatedAppend(store, storeAvailability, clock, STATE_RETRY_PAUSE)
    private val changes = Channel<Pair<JobIdentifier, JobState?>>(Channel.UNLIMITED)
    private val published = mutableMapOf<JobIdentifier, JobState>()
    private var sequence = 0L

    /** Publishes the state of a job. */
    fun publish(job: JobIdentifier, state: JobState) {
        changes.trySend(job to state)
    }

    /** Removes the state of a job that is forgotten. */
    fun remove(job: JobIdentifier) {
        changes.trySend(job to null)
    }

    /** Appends until another owner has taken over or the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val first = withTimeoutOrNull(SIGN_OF_LIFE_INTERVAL) { changes.receive() }
            val records = recordsOf(listOfNotNull(first) + waitingChanges())
            val owner = FleetRecords.OWNER_KEY to FleetRecords.encode(record)
            val producer = Producer(OWNER_PRODUCER, record.epoch, ++sequence)
            val outcome = appends.append(Topic.States, records + owner, producer)
            if (outcome !is KnownOutcome.Durable) {
                logger.info { "owner: states no longer published epoch=${record.epoch} outcome=$outcome" }
                return
            }
            delay(STATE_GATHER_PAUSE)
        }
    }

    private fun waitingChanges(): List<Pair<JobIdentifier, JobState?>> =
        generateSequence { changes.tryReceive().getOrNull() }.take(MAX_STATES_PER_APPEND).toList()

    private fun recordsOf(changes: List<Pair<JobIdentifier, JobState?>>): List<Pair<String, ByteArray?>> {
        val records = linkedMapOf<String, ByteArray?>()
        for ((job, state) in changes) {
            if (state == null) {
                published -= job
            } else if (published.put(job, state) == state) {
                continue
            }
            records[FleetRecords.stateKey(job)] = state?.let { FleetRecords.encode(it) }
        }
        return records.toList()
    }
}
