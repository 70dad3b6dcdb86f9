package dogwoodgrade.node

import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.ProgressLayout

/**
 * State of one job according to the log.
 *
 * Records are decoded on first use, because most jobs have ended and decoding all of them delays a restart of the fleet
 * by a third of a second.
 *
 * @property jobRecord the accepted job, or `null` if only a cancellation, progress or summary of it has been read
 * @property recordOffset offset of that record in the jobs topic, or `null` if it was not read from there
 * @property cancelled whether a cancellation is durable
 * @property progressRecords newest record of each part of the progress, by the number of the part
 * @property published queue and state without the records behind them, or `null` if it has these records
 * @property named whether the summary has named it
 */
internal data class KnownJob(
    val jobRecord: Lazy<Job?>? = null,
    val recordOffset: Long? = null,
    val cancelled: Boolean = false,
    val progressRecords: Map<Int, RecordedPart> = emptyMap(),
    val published: PublishedState? = null,
    val named: Boolean = false,
) {
    /** The accepted job, or `null` if its record has not been read. */
    val job: Job?
        get() = jobRecord?.value

    /** Queue of the job, or `null` if it is not known to be accepted. */
    val queue: String?
        get() = published?.queue ?: job?.queue

    private val firstPart: ProgressPart?
        get() = progressRecords[0]?.part

    /** Newest progress, or `null` if there is none. */
    val progress: JobProgress?
        get() {
            val first = firstPart ?: return null
            if (first.furtherParts == 0) return first.progress
            val further = progressRecords.filterKeys { it in 1..first.furtherParts }.values
            return ProgressLayout.join(first.progress, further.mapNotNull { it.part?.progress })
        }

    /** The state that is reported to callers. */
    val state: JobState
        get() {
            val recorded =
                laterState(firstPart?.progress?.state ?: JobState.Queued, published?.state ?: JobState.Queued)
            return if (cancelled && !recorded.ended) JobState.Cancelled else recorded
        }
}

/**
 * A record of one part of a job's progress.
 *
 * @property offset offset in the progress topic
 */
internal class RecordedPart(
    private val record: Lazy<ProgressPart?>,
    val offset: Long,
) {
    /** Content, or `null` if the record is malformed. */
    val part: ProgressPart? get() = record.value
}

/**
 * Returns the later of two states of one job, which were read from topics that are not read equally far: an end is
 * later than active, and active is later than queued.
 */
private fun laterState(first: JobState, second: JobState): JobState =
    if (second.ended || first == JobState.Queued) second else first
