package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState
import kotlin.time.Instant

/**
 * What the log says about one job.
 *
 * @property job the accepted job, or `null` while only a cancellation or progress of it was read
 * @property progressOffset offset of [progress] in its topic
 */
internal data class KnownJob(
    val job: Job? = null,
    val cancelled: Boolean = false,
    val progress: JobProgress? = null,
    val progressOffset: Long = -1,
) {
    /** The state that callers are told. */
    val state: JobState
        get() {
            val recorded = progress?.state ?: JobState.Queued
            val ended = recorded == JobState.Completed || recorded == JobState.Failed
            return if (cancelled && !ended) JobState.Cancelled else recorded
        }
}

/**
 * All jobs that the log knows. Every entry instance has this table; it is the base of a new owner's schedule.
 *
 * Guarded by its own lock (number 3 in the lock order).
 */
internal class JobTable {
    private val jobs = mutableMapOf<JobIdentifier, KnownJob>()
    private var readAt: Instant = Instant.DISTANT_PAST
    private var nextOffset = 0L

    /** Applies a record of the jobs' topic. The first record of a job counts, repeated ones change nothing. */
    @Synchronized
    fun applyJob(record: KeyedRecord) {
        FleetRecords.jobOf(record.key)?.let { identifier ->
            val value = record.value
            val known = jobs[identifier]
            when {
                value == null -> jobs -= identifier
                known?.job != null -> Unit
                else -> {
                    val job = FleetRecords.decodeJob(identifier, value) ?: return
                    jobs[identifier] = (known ?: KnownJob()).copy(job = job)
                }
            }
        }
        FleetRecords.cancelledJobOf(record.key)?.let { identifier ->
            if (record.value != null) jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(cancelled = true)
        }
    }

    /** Applies a record of the progress topic. */
    @Synchronized
    fun applyProgress(record: KeyedRecord) {
        val identifier = FleetRecords.progressJobOf(record.key) ?: return
        if (record.value == null && jobs[identifier]?.job == null) jobs -= identifier
        val progress = record.value?.let { FleetRecords.decodeProgress(it) } ?: return
        applyProgress(identifier, progress, record.offset)
    }

    /**
     * Applies progress that is durable at [offset]. The owner applies its own appends before it reads them back, so
     * that older progress is ignored.
     */
    @Synchronized
    fun applyProgress(identifier: JobIdentifier, progress: JobProgress, offset: Long) {
        val known = jobs[identifier] ?: KnownJob()
        if (known.progress != null && offset <= known.progressOffset) return
        jobs[identifier] = known.copy(progress = progress, progressOffset = offset)
    }

    /** Adds a job that this process has made durable itself. */
    @Synchronized
    fun accepted(job: Job) {
        val known = jobs[job.identifier]
        if (known?.job == null) jobs[job.identifier] = (known ?: KnownJob()).copy(job = job)
    }

    /** Marks a job whose cancellation this process has made durable itself. */
    @Synchronized
    fun cancelled(identifier: JobIdentifier) {
        jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(cancelled = true)
    }

    /** Records how far the jobs' topic was read, and that there was no more of it at [sentAt]. */
    @Synchronized
    fun read(nextOffset: Long, reachedEnd: Boolean, sentAt: Instant) {
        this.nextOffset = nextOffset
        if (reachedEnd) readAt = maxOf(readAt, sentAt)
    }

    /** Offset up to which the jobs' topic was read. */
    @Synchronized
    fun readTo(): Long = nextOffset

    /** Latest time at which the table had all that was in the topic, or the distant past. */
    @Synchronized
    fun completeAt(): Instant = readAt

    @Synchronized
    operator fun get(identifier: JobIdentifier): KnownJob? = jobs[identifier]?.takeIf { it.job != null }

    @Synchronized
    fun all(): Map<JobIdentifier, KnownJob> = jobs.filterValues { it.job != null }

    /** Number of jobs of [queue] that no task has been started of. */
    @Synchronized
    fun pending(queue: String): Int = jobs.values.count { it.job?.queue == queue && it.state == JobState.Queued }
}
