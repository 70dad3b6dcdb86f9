package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobState

/**
 * Position in the jobs topic up to which a complete table has all jobs.
 *
 * @property generation number of the filling of the table, which begins anew with each source and each snapshot
 */
internal data class JobReadPosition(
    val generation: Int,
    val offset: Long,
)

/**
 * All jobs in the log. Every entry instance keeps this table; a new owner builds its schedule from it.
 *
 * The table is filled either from the records of the jobs, or from their summary, which lacks payloads and steps. With
 * the summary come the jobs that were appended after the position that it names.
 *
 * Guarded by its own lock (number 3 in the lock order of the node process).
 */
internal class JobTable {
    private val jobs = mutableMapOf<JobIdentifier, KnownJob>()
    private var fromSummary = false
    private var complete = false
    private var generation = 0
    private var nextOffset = 0L

    /** Whether the summary has named a position. */
    private var positionKnown = false
    private var newJobsAsOf: ClockReading? = null

    /** Begins to fill the table from the records of the jobs. It is not complete before they have been read. */
    @Synchronized
    fun followRecords() = fillAnew(fromSummary = false)

    private fun fillAnew(fromSummary: Boolean) {
        this.fromSummary = fromSummary
        generation++
        complete = false
        nextOffset = 0
        positionKnown = false
        newJobsAsOf = null
    }

    /** Begins to fill the table from the summary of the jobs, and drops the records that it has. */
    @Synchronized
    fun followSummary() {
        fillAnew(fromSummary = true)
        jobs.entries.removeIf { it.value.queue == null }
        jobs.replaceAll { _, known -> summaryOf(known) }
    }

    private fun summaryOf(known: KnownJob): KnownJob =
        KnownJob(
            cancelled = known.cancelled,
            published = known.queue?.let { PublishedState(known.state, it) },
            named = known.named,
        )

    /** Tells whether the table is filled from the summary. */
    @Synchronized
    fun followsSummary(): Boolean = fromSummary

    /** Applies a record of the jobs topic. The first record of a job counts; repeated ones have no effect. */
    @Synchronized
    fun applyJob(record: KeyedRecord) {
        FleetRecords.jobOf(record.key)?.let { identifier ->
            val value = record.value
            val known = jobs[identifier]
            when {
                value == null -> jobs -= identifier
                known?.jobRecord != null -> Unit
                fromSummary && known?.published != null -> Unit
                else -> add(identifier, lazy { FleetRecords.decodeJob(identifier, value) }, record.offset)
            }
        }
        FleetRecords.cancelledJobOf(record.key)?.let { applyCancellation(it, removed = record.value == null) }
    }

    private fun applyCancellation(identifier: JobIdentifier, removed: Boolean) {
        if (!removed) {
            jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(cancelled = true)
        } else if (isCancelledWithoutJob(identifier)) {
            jobs -= identifier
        }
    }

    /** Returns the jobs of which only a cancellation is known. It applies to a job that is accepted later. */
    @Synchronized
    fun cancelledWithoutJob(): Set<JobIdentifier> = jobs.filterValues { it == CANCELLATION_ONLY }.keys.toSet()

    /** Tells whether of [identifier] only a cancellation is known. */
    @Synchronized
    fun isCancelledWithoutJob(identifier: JobIdentifier): Boolean = jobs[identifier] == CANCELLATION_ONLY

    private fun add(identifier: JobIdentifier, record: Lazy<Job?>, offset: Long?) {
        val added = (jobs[identifier] ?: KnownJob()).copy(jobRecord = record, recordOffset = offset)
        jobs[identifier] = if (fromSummary) summaryOf(added) else added
    }

    /** Applies a record of the progress topic. */
    @Synchronized
    fun applyProgress(record: KeyedRecord) {
        val (identifier, part) = FleetRecords.progressPartOf(record.key) ?: return
        val value = record.value
        if (value == null) {
            removeProgress(identifier, part)
            return
        }
        applyPart(identifier, part, RecordedPart(lazy { FleetRecords.decodeProgress(value) }, record.offset))
    }

    private fun removeProgress(identifier: JobIdentifier, part: Int) {
        val known = jobs[identifier] ?: return
        if (part > 0) {
            jobs[identifier] = known.copy(progressRecords = known.progressRecords - part)
        } else if (known.jobRecord == null) {
            jobs -= identifier
        }
    }

    /**
     * Applies a change of progress that is durable at [offset]. Older progress is ignored, because the owner applies
     * its own appends before it reads earlier ones back.
     */
    @Synchronized
    fun applyProgress(change: ProgressChange, offset: Long) {
        if (change.part == null) {
            removeProgress(change.job, change.number)
        } else {
            applyPart(change.job, change.number, RecordedPart(lazyOf(change.part), offset))
        }
    }

    private fun applyPart(identifier: JobIdentifier, part: Int, record: RecordedPart) {
        val known = jobs[identifier] ?: KnownJob()
        if (record.offset <= (known.progressRecords[part]?.offset ?: -1)) return
        jobs[identifier] = known.copy(progressRecords = known.progressRecords + (part to record))
    }

    /** Returns the recorded parts of the progress of a job, by their number. */
    @Synchronized
    fun progressParts(identifier: JobIdentifier): Map<Int, ProgressPart> =
        jobs[identifier]
            ?.progressRecords
            .orEmpty()
            .mapNotNull { (number, record) -> record.part?.let { number to it } }
            .toMap()

    /**
     * Applies records of the summary.
     *
     * The pages of a snapshot are read one after the other, so that its position may name jobs that an earlier page
     * lacks. The table is complete when the changes made in the meantime have been read as well. A job that was named
     * before and is not any more has been forgotten; the others were accepted behind the position.
     */
    @Synchronized
    fun applySummary(followed: FollowedRecords) {
        followed.records.forEach { applyState(it) }
        if (followed.snapshot) {
            generation++
            newJobsAsOf = null
            val present = followed.records.mapNotNullTo(mutableSetOf()) { FleetRecords.stateJobOf(it.key) }
            jobs.entries.removeIf { it.key !in present && (it.value.named || it.value.state.ended) }
        }
        val positions = followed.records.filter { it.key == FleetRecords.JOBS_POSITION_KEY }
        val position = positions.lastOrNull()?.value?.let { FleetRecords.decodePosition(it) }
        if (position != null) {
            nextOffset = maxOf(nextOffset, position)
            positionKnown = true
        }
        complete = !followed.snapshot && (complete || followed.reachedEnd && positionKnown)
    }

    /** Applies a record of the summary about one job. */
    @Synchronized
    fun applyState(record: KeyedRecord) {
        val identifier = FleetRecords.stateJobOf(record.key) ?: return
        val value = record.value
        if (value != null) {
            val published = FleetRecords.decodeState(value) ?: return
            jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(published = published, named = true)
        } else if (jobs[identifier]?.jobRecord == null) {
            jobs -= identifier
        }
    }

    /** Adds a job that this process has made durable. */
    @Synchronized
    fun addAccepted(job: Job) {
        if (jobs[job.identifier]?.queue == null) add(job.identifier, lazyOf(job), offset = null)
    }

    /** Marks a job whose cancellation this process has made durable. */
    @Synchronized
    fun markCancelled(identifier: JobIdentifier) {
        jobs[identifier] = (jobs[identifier] ?: KnownJob()).copy(cancelled = true)
    }

    /** Records the offset up to which the jobs topic has been read, and whether the read reached its end. */
    @Synchronized
    fun recordPosition(nextOffset: Long, reachedEnd: Boolean) {
        this.nextOffset = maxOf(this.nextOffset, nextOffset)
        if (reachedEnd) complete = true
    }

    /**
     * Drops what a snapshot of the jobs topic up to [end] lacks, which has the jobs [present] and the cancellations of
     * the jobs [cancelled]: jobs that only the summary named, those whose record was read before [end], and
     * cancellations without a job. The progress of jobs with a record stays, because it is not read again.
     *
     * @return the jobs whose record was dropped
     */
    @Synchronized
    fun dropAbsentJobs(
        present: Set<JobIdentifier>,
        end: Long,
        cancelled: Set<JobIdentifier> = emptySet(),
    ): Set<JobIdentifier> {
        jobs.entries.removeIf { it.value.published != null && it.value.jobRecord == null }
        jobs.keys -= cancelledWithoutJob() - cancelled
        val absent =
            jobs
                .filter { (identifier, known) ->
                    val offset = known.recordOffset
                    identifier !in present && offset != null && offset < end
                }.keys
                .toSet()
        absent.forEach { job ->
            jobs.computeIfPresent(job) { _, known ->
                known.copy(jobRecord = null, recordOffset = null, published = null)
            }
        }
        return absent
    }

    /** Returns the position from which new jobs can be read, or `null` if the table is not complete. */
    @Synchronized
    fun readPosition(): JobReadPosition? = if (complete) JobReadPosition(generation, nextOffset) else null

    /**
     * Applies the [records] of the jobs topic that were read from [position] on.
     *
     * @param asOf time at which the read was sent, or `null` if it has not reached the end of the topic
     * @return `false` if the table has begun to be filled anew since, so that the records may not be all that it lacks
     */
    @Synchronized
    fun applyNewJobs(
        position: JobReadPosition,
        records: List<KeyedRecord>,
        nextOffset: Long,
        asOf: ClockReading? = null,
    ): Boolean {
        if (!complete || position.generation != generation) return false
        records.forEach { applyJob(it) }
        this.nextOffset = maxOf(this.nextOffset, nextOffset)
        if (asOf != null) newJobsAsOf = asOf
        return true
    }

    /** Returns the time up to which [applyNewJobs] has added all jobs since the table began to be filled. */
    @Synchronized
    fun newJobsAsOf(): ClockReading? = newJobsAsOf

    /** Returns the offset in the jobs topic before which the table has all jobs, provided that it [isComplete]. */
    @Synchronized
    fun readTo(): Long = nextOffset

    /** Tells whether the table has all jobs that were accepted before [readTo]. */
    @Synchronized
    fun isComplete(): Boolean = complete

    @Synchronized
    operator fun get(identifier: JobIdentifier): KnownJob? = jobs[identifier]?.takeIf { it.queue != null }

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

    /** Counts the jobs of [queue] of which no task has been started. */
    @Synchronized
    fun countPending(queue: String): PendingCount {
        val jobsOfQueue = jobs.values.filter { it.queue == queue }
        val pending = jobsOfQueue.count { it.state == JobState.Queued }
        return PendingCount(pending, jobsOfQueue.size, fromSummary, complete, nextOffset)
    }

    private companion object {
        val CANCELLATION_ONLY = KnownJob(cancelled = true)
    }
}
