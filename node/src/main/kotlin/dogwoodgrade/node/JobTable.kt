package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState

/**
 * State of one job according to the log.
 *
 * Records are decoded on first use, because most jobs have ended and decoding all of them delays a restart of the fleet
 * by a third of a second.
 *
 * @property jobRecord the accepted job, or `null` if only a cancellation or progress of it has been read
 * @property cancelled whether a cancellation is durable
 * @property progressRecord newest progress, or `null` if there is none
 * @property progressOffset offset of the newest progress in the progress topic
 * @property publishedState newest state in the summary of the progress, or `null` if there is none
 */
internal data class KnownJob(
    val jobRecord: Lazy<Job?>? = null,
    val cancelled: Boolean = false,
    val progressRecord: Lazy<JobProgress?>? = null,
    val progressOffset: Long = -1,
    val publishedState: JobState? = null,
) {
    /** The accepted job, or `null` if none has been read. */
    val job: Job?
        get() = jobRecord?.value

    /** Newest progress, or `null` if there is none. */
    val progress: JobProgress?
        get() = progressRecord?.value

    /** The state that is reported to callers. */
    val state: JobState
        get() {
            val recorded = laterState(progress?.state ?: JobState.Queued, publishedState ?: JobState.Queued)
            return if (cancelled && !recorded.ended) JobState.Cancelled else recorded
        }
}

/** Returns the later of two states of one job, which were read from topics that are not read equally far. */
private fun laterState(first: JobState, second: JobState): JobState =
    if (second.ended || first == JobState.Queued) second else first

/**
 * All jobs in the log. Every entry instance keeps this table; a new owner builds its schedule from it.
 *
 * Guarded by its own lock (number 3 in the lock order of the node process).
 */
internal class JobTable {
    private val jobs = mutableMapOf<JobIdentifier, KnownJob>()
    private var hasBeenComplete = false
    private var nextOffset = 0L

    /** Applies a record of the jobs topic. The first record of a job counts; repeated ones have no effect. */
    @Synchronized
    fun applyJob(record: KeyedRecord) {
        FleetRecords.jobOf(record.key)?.let { identifier ->
            val value = record.value
            val knownJob = jobs[identifier]
            when {
                value == null -> jobs -= identifier
                knownJob?.jobRecord != null -> Unit
                else -> {
                    val decoded = lazy { FleetRecords.decodeJob(identifier, value) }
                    jobs[identifier] = (knownJob ?: KnownJob()).copy(jobRecord = decoded)
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
     * Applies progress that is durable at [offset]. Older progress is ignored, because the owner applies its own
     * appends before it reads earlier ones back.
     */
    @Synchronized
    fun applyProgress(identifier: JobIdentifier, progress: JobProgress, offset: Long) =
        applyProgress(identifier, lazyOf(progress), offset)

    private fun applyProgress(identifier: JobIdentifier, progress: Lazy<JobProgress?>, offset: Long) {
        val knownJob = jobs[identifier] ?: KnownJob()
        if (knownJob.progressRecord != null && offset <= knownJob.progressOffset) return
        jobs[identifier] = knownJob.copy(progressRecord = progress, progressOffset = offset)
    }

    /** Applies a record of the summary of the progress. */
    @Synchronized
    fun applyState(record: KeyedRecord) {
        val identifier = FleetRecords.stateJobOf(record.key) ?: return
        val state = record.value?.let { FleetRecords.decodeState(it) }
        if (state != null) {
            jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(publishedState = state)
        } else if (jobs[identifier]?.jobRecord == null) {
            jobs -= identifier
        }
    }

    /** Adds a job that this process has made durable. */
    @Synchronized
    fun addAccepted(job: Job) {
        val knownJob = jobs[job.identifier]
        if (knownJob?.jobRecord == null) jobs[job.identifier] = (knownJob ?: KnownJob()).copy(jobRecord = lazyOf(job))
    }

    /** Marks a job whose cancellation this process has made durable. */
    @Synchronized
    fun markCancelled(identifier: JobIdentifier) {
        jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(cancelled = true)
    }

    /** Records the offset up to which the jobs topic has been read, and whether the read reached its end. */
    @Synchronized
    fun recordPosition(nextOffset: Long, reachedEnd: Boolean) {
        this.nextOffset = nextOffset
        if (reachedEnd) hasBeenComplete = true
    }

    /** Returns the offset up to which the jobs topic has been read. */
    @Synchronized
    fun readTo(): Long = nextOffset

    /** Tells whether the table has ever contained all records of the jobs topic. */
    @Synchronized
    fun hasBeenComplete(): Boolean = hasBeenComplete

    @Synchronized
    operator fun get(identifier: JobIdentifier): KnownJob? = jobs[identifier]?.takeIf { it.job != null }

    /** Returns the jobs that a new owner has to schedule: those that have not ended, or whose runs may still exist. */
    @Synchronized
    fun unfinished(): Map<JobIdentifier, KnownJob> =
        jobs.filterValues { knownJob -> !isOver(knownJob) && knownJob.job != null }

    /** Returns the jobs that have ended and have no runs that may still exist. */
    @Synchronized
    fun ended(): Set<JobIdentifier> = jobs.filterValues { it.jobRecord != null && isOver(it) }.keys.toSet()

    private fun isOver(knownJob: KnownJob): Boolean {
        val progress = knownJob.progress ?: return false
        val running = progress.started.isNotEmpty() || progress.abandoned.isNotEmpty()
        return !running && progress.state.ended
    }

    /** Returns the number of jobs of [queue] of which no task has been started. */
    @Synchronized
    fun pending(queue: String): Int = jobs.values.count { it.state == JobState.Queued && it.job?.queue == queue }
}
