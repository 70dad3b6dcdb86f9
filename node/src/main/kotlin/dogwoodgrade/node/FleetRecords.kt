package dogwoodgrade.node

import dogwoodgrade.ownership.HandoverRequest
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.jobIdentifierOrNull
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json

/** State of a job in the summary. */
internal data class PublishedState(
    val state: JobState,
    val queue: String,
)

/**
 * Keys and JSON encoding of the records in the platform's log: jobs, cancellations, progress, executors and ownership.
 *
 * Field names are short because every entry instance stores and reads each record.
 */
internal object FleetRecords {
    /** Key of the ownership record. */
    const val OWNER_KEY: String = "owner"

    /** Key of the newest request for a handover, in the jobs topic, to which every entry instance may append. */
    const val HANDOVER_KEY: String = "handover"

    /** Key of the offset in the jobs topic up to which the summary has every accepted job. */
    const val JOBS_POSITION_KEY: String = "jobs-read"

    /** Number of characters of a malformed record that are logged. */
    private const val LOGGED_LENGTH = 80

    /** Largest epoch for which the run numbers of a term, a million for each epoch, do not overflow. */
    private const val LARGEST_EPOCH = 1_000_000_000_000
    private const val JOB_PREFIX = "job/"
    private const val CANCELLATION_PREFIX = "cancel/"
    private const val PROGRESS_PREFIX = "progress/"
    private const val STATE_PREFIX = "state/"
    private const val EXECUTOR_PREFIX = "executor/"

    private val logger = KotlinLogging.logger {}
    private val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    fun jobKey(job: JobIdentifier): String = JOB_PREFIX + job

    fun cancellationKey(job: JobIdentifier): String = CANCELLATION_PREFIX + job

    /** Returns the key of a part of the progress of [job]. The first one has the key that the whole progress has. */
    fun progressKey(job: JobIdentifier, part: Int = 0): String =
        if (part == 0) "$PROGRESS_PREFIX$job" else "$PROGRESS_PREFIX$job/$part"

    fun stateKey(job: JobIdentifier): String = STATE_PREFIX + job

    fun executorKey(executor: ExecutorIdentifier): String = EXECUTOR_PREFIX + executor

    fun executorOf(key: String): ExecutorIdentifier? =
        if (key.startsWith(EXECUTOR_PREFIX)) ExecutorIdentifier(key.removePrefix(EXECUTOR_PREFIX)) else null

    fun jobOf(key: String): JobIdentifier? = identifier(key, JOB_PREFIX)

    fun cancelledJobOf(key: String): JobIdentifier? = identifier(key, CANCELLATION_PREFIX)

    /** Returns the job and the part that [key] names, or `null` if it is not the key of progress. */
    fun progressPartOf(key: String): Pair<JobIdentifier, Int>? {
        if (!key.startsWith(PROGRESS_PREFIX)) return null
        val names = key.removePrefix(PROGRESS_PREFIX).split('/')
        val job = jobIdentifierOrNull(names[0]) ?: return null
        val part = if (names.size == 1) 0 else names[1].toIntOrNull()?.takeIf { it > 0 && names.size == 2 }
        return part?.let { job to it }
    }

    fun stateJobOf(key: String): JobIdentifier? = identifier(key, STATE_PREFIX)

    private fun identifier(key: String, prefix: String): JobIdentifier? =
        if (key.startsWith(prefix)) jobIdentifierOrNull(key.removePrefix(prefix)) else null

    fun encode(job: Job): ByteArray = json.encodeToString(JobRecord.of(job)).encodeToByteArray()

    fun decodeJob(identifier: JobIdentifier, value: ByteArray): Job? =
        decode("job $identifier") { json.decodeFromString<JobRecord>(value.decodeToString()).toJob(identifier) }

    fun encode(part: ProgressPart): ByteArray = json.encodeToString(ProgressRecord.of(part)).encodeToByteArray()

    fun decodeProgress(value: ByteArray): ProgressPart? =
        decode("progress") { json.decodeFromString<ProgressRecord>(value.decodeToString()).toPart() }

    /** Encodes a published state: the names of state and queue, separated by a space. */
    fun encode(published: PublishedState): ByteArray = "${published.state.name} ${published.queue}".encodeToByteArray()

    fun decodeState(value: ByteArray): PublishedState? {
        val text = value.decodeToString()
        val state = JobState.entries.firstOrNull { it.name == text.substringBefore(' ') }
        val queue = text.substringAfter(' ', "")
        if (state == null || queue.isEmpty()) {
            logger.warn { "records: skipped malformed job state \"${text.take(LOGGED_LENGTH)}\"" }
            return null
        }
        return PublishedState(state, queue)
    }

    fun encodePosition(offset: Long): ByteArray = offset.toString().encodeToByteArray()

    fun decodePosition(value: ByteArray): Long? {
        val text = value.decodeToString()
        val offset = text.toLongOrNull()?.takeIf { it >= 0 }
        if (offset == null) logger.warn { "records: skipped malformed position \"${text.take(LOGGED_LENGTH)}\"" }
        return offset
    }

    fun encode(report: ExecutorReport): ByteArray = json.encodeToString(ExecutorRecord.of(report)).encodeToByteArray()

    fun decodeExecutor(identifier: ExecutorIdentifier, value: ByteArray): ExecutorReport? =
        decode("executor $identifier") {
            json.decodeFromString<ExecutorRecord>(value.decodeToString()).toReport(identifier)
        }

    fun encode(owner: OwnershipRecord): ByteArray =
        json
            .encodeToString(
                OwnerRecord(
                    owner.epoch,
                    owner.owner,
                    owner.incarnation,
                    owner.resigned,
                    owner.capacity,
                    owner.successor,
                ),
            ).encodeToByteArray()

    fun decodeOwner(value: ByteArray): OwnershipRecord? =
        decode("owner") {
            val record = json.decodeFromString<OwnerRecord>(value.decodeToString())
            requireEpoch(record.epoch)
            OwnershipRecord(
                record.epoch,
                record.owner,
                record.incarnation,
                record.resigned,
                record.capacity,
                record.successor,
            )
        }

    fun encode(request: HandoverRequest): ByteArray =
        json.encodeToString(HandoverRecord(request.epoch, request.candidate)).encodeToByteArray()

    fun decodeHandover(value: ByteArray): HandoverRequest? =
        decode("handover") {
            val record = json.decodeFromString<HandoverRecord>(value.decodeToString())
            requireEpoch(record.epoch)
            HandoverRequest(record.epoch, record.candidate)
        }

    private fun requireEpoch(epoch: Long) = require(epoch in 1..LARGEST_EPOCH) { "epoch $epoch is out of range" }

    private fun <T> decode(recordDescription: String, read: () -> T): T? =
        try {
            read()
        } catch (failure: IllegalArgumentException) {
            // A SerializationException is one, as is the exception of a value that a record does not take.
            logger.warn { "records: skipped malformed $recordDescription: ${failure.message}" }
            null
        }
}
