package dogwoodgrade.node

import dogwoodgrade.platform.StoreLimits
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.ProgressLayout

/**
 * One part of a job's progress, which is one record of the log.
 *
 * @property furtherParts in the first part: number of the last further part that counts, or 0 if this is all of it
 */
internal data class ProgressPart(
    val progress: JobProgress,
    val furtherParts: Int = 0,
)

/**
 * A record of a job's progress.
 *
 * @property number number of the part, from 0
 * @property part content, or `null` if the record is removed
 */
internal data class ProgressChange(
    val job: JobIdentifier,
    val number: Int,
    val part: ProgressPart?,
) {
    val key: String = FleetRecords.progressKey(job, number)
    val value: ByteArray? = part?.let { FleetRecords.encode(it) }
}

/**
 * Returns the records that bring the recorded parts of a job to [progress], in the order in which they have to become
 * durable.
 *
 * The progress is one record while the store takes it, which an earlier version of this program reads as well. From
 * then on it is divided, and only the parts that changed are written. The first part counts the further ones: it comes
 * after them, so that none is missing, and before the removal of those that it no longer counts.
 *
 * @param recorded the parts that are durable, by their number
 */
internal fun progressChanges(
    job: Job,
    progress: JobProgress,
    recorded: Map<Int, ProgressPart>,
    limits: StoreLimits,
): List<ProgressChange> {
    val identifier = job.identifier
    val divided = (recorded[0]?.furtherParts ?: 0) > 0
    if (!divided) {
        val whole = ProgressChange(identifier, 0, ProgressPart(progress))
        val outdated = recorded.keys.filter { it > 0 }.map { ProgressChange(identifier, it, null) }
        if (limits.admitsRecord(whole.key, whole.value)) return listOf(whole) + outdated
    }
    val layout = ProgressLayout(job)
    val parts = layout.split(progress)
    val further = (parts.keys + recorded.keys - 0).sorted()
    val removable = progress.state.ended && parts.keys == setOf(0)
    val first = ProgressPart(parts.getValue(0), if (removable) 0 else layout.partCount - 1)
    val written =
        further.mapNotNull { number ->
            val part = ProgressPart(parts[number] ?: JobProgress())
            ProgressChange(identifier, number, part).takeIf { !removable && isNew(part, recorded[number]) }
        }
    val removed = if (removable) further.map { ProgressChange(identifier, it, null) } else emptyList()
    return written + ProgressChange(identifier, 0, first) + removed
}

private fun isNew(part: ProgressPart, recorded: ProgressPart?): Boolean =
    if (recorded == null) !part.progress.hasNoTasks else part != recorded

/** Returns the record that ends a job whose progress the store does not take. */
internal fun failedJobRecord(job: JobIdentifier): ProgressChange =
    ProgressChange(job, 0, ProgressPart(JobProgress(JobState.Failed)))
