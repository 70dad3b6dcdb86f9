package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState

/**
 * What the log says about one job.
 *
 * Records are decoded when they are first needed: after a restart of everything, decoding all of them took a third of a
 * second, and most jobs have ended.
 *
 * @property jobRecord the accepted job, or `null` while only a cancellation or progress of it was read
 * @property progressRecord newest progress, or `null` while there is none
 * @property progressOffset offset of the progress in its topic
 */
internal data class KnownJob(
    val jobRecord: Lazy<Job?>? = null,
    val cancelled: Boolean = false,
    val progressRecord: Lazy<JobProgress?>? = null,
    val progressOffset: Long = -1,
) {
    /** The accepted job, or `null` if none was read. */
    val job: Job?
        get() = jobRecord?.value

    /** Newest progress, or `null` if there is none. */
    val progress: JobProgress?
        get() = progressRecord?.value

    /** The state that callers are told. */
    val state: JobState
        get() {
            val recorded = progress?.state ?: JobState.Queued
            return if (cancelled && !recorded.ended) JobState.Cancelled else recorded
        }
}

/**
 * All jobs that the log knows. Every entry instance has this table; it is the base of a new owner's schedule.
 *
 * Guarded by its own lock (number 3 in the lock order).
 */
internal class JobTable {
    private val jobs = mutableMapOf<JobIdentifier, KnownJob>()
    private var everComplete = false
    private var nextOffset = 0L

    /** Applies a record of the jobs' topic. The first record of a job counts, repeated ones change nothing. */
    @Synchronized
    fun applyJob(record: KeyedRecord) {
        FleetRecords.jobOf(record.key)?.let { identifier ->
            val value = record.value
            val known = jobs[identifier]
            when {
                value == null -> jobs -= identifier
                known?.jobRecord != null -> Unit
                else -> {
                    val decoded = lazy { FleetRecords.decodeJob(identifier, value) }
                    jobs[identifier] = (known ?: KnownJob()).copy(jobRecord = decoded)
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
        val value = record.value
        if (value == null) {
            if (jobs[identifier]?.jobRecord == null) jobs -= identifier
            return
        }
        applyProgress(identifier, lazy { FleetRecords.decodeProgress(value) }, record.offset)
    }

    /**
     * Applies progress that is durable at [offset]. The owner applies its own appends before it reads them back, so
     * that older progress is ignored.
     */
    @Synchronized
    fun applyProgress(identifier: JobIdentifier, progress: JobProgress, offset: Long) =
        applyProgress(identifier, lazyOf(progress), offset)

    private fun applyProgress(identifier: JobIdentifier, progress: Lazy<JobProgress?>, offset: Long) {
        val known = jobs[identifier] ?: KnownJob()
        if (known.progressRecord != null && offset <= known.progressOffset) return
        jobs[identifier] = known.copy(progressRecord = progress, progressOffset = offset)
    }

    /** Adds a job that this process has made durable itself. */
    @Synchronized
    fun accepted(job: Job) {
        val known = jobs[job.identifier]
        if (known?.jobRecord == null) jobs[job.identifier] = (known ?: KnownJob()).copy(jobRecord = lazyOf(job))
    }

    /** Marks a job whose cancellation this process has made durable itself. */
    @Synchronized
    fun cancelled(identifier: JobIdentifier) {
        jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(cancelled = true)
    }

    /** Records how far the jobs' topic was read, and whether there was no more of it. */
    @Synchronized
    fun read(nextOffset: Long, reachedEnd: Boolean) {
        this.nextOffset = nextOffset
        if (reachedEnd) everComplete = true
    }

    /** Offset up to which the jobs' topic was read. */
    @Synchronized
    fun readTo(): Long = nextOffset

    /** Whether the table has had all that was in the topic at some time. */
    @Synchronized
    fun everComplete(): Boolean = everComplete

    @Synchronized
    operator fun get(identifier: JobIdentifier): KnownJob? = jobs[identifier]?.takeIf { it.job != null }

    /** Jobs that a new owner has to schedule: those that have not ended, and ended ones with runs that may exist. */
    @Synchronized
    fun unfinished(): Map<JobIdentifier, KnownJob> =
        jobs.filterValues { known -> !isOver(known) && known.job != null }

    /** Jobs that have ended, without runs that may exist. */
    @Synchronized
    fun ended(): Set<JobIdentifier> = jobs.filterValues { it.jobRecord != null && isOver(it) }.keys.toSet()

    private fun isOver(known: KnownJob): Boolean {
        val progress = known.progress ?: return false
        val running = progress.started.isNotEmpty() || progress.abandoned.isNotEmpty()
        return !running && progress.state.ended
    }

    /** Number of jobs of [queue] that no task has been started of. */
    @Synchronized
    fun pending(queue: String): Int = jobs.values.count { it.state == JobState.Queued && it.job?.queue == queue }
}
