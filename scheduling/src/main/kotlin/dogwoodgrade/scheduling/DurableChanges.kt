package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time between two searches for ended jobs whose retention time has passed. */
private val FORGET_INTERVAL: Duration = 1.seconds

/** Collects what has changed into batches that are made durable one after the other. */
internal class DurableChanges(
    private val tables: FleetTables,
    private val transitions: JobTransitions,
) {
    private var forgottenAt = Instant.DISTANT_PAST

    /** Number of planned starts in the batch that is being made durable. */
    private var startsInBatch = 0

    /** Number of planned starts that are not durable yet. */
    val waitingStarts: Int get() = startsInBatch + tables.plannedStarts.size

    /** Returns the changes since the last batch, or `null` if there are none. */
    fun take(now: Instant): ProgressBatch? {
        val forgotten = forgetExpiredJobs(now)
        val ends = tables.executors.values.filter { it.processedEnd > it.durableEnd }
        val unrecorded = tables.executors.values
            .filter { !it.recorded }
            .map { it.report }
        val gone = tables.goneExecutors.filter { it !in tables.executors }
        val progress =
            tables.changed
                .mapNotNull { identifier -> tables.jobs[identifier]?.let { identifier to it.progress() } }
                .toMap()
        val starts = tables.plannedStarts.toList()
        tables.changed.clear()
        tables.goneExecutors.clear()
        tables.plannedStarts.clear()
        startsInBatch = starts.size
        val batch =
            ProgressBatch(
                progress,
                forgotten,
                ends.associate { it.identifier to it.processedEnd },
                ends.associate { it.identifier to it.report.incarnation },
                unrecorded,
                gone,
                starts,
            )
        return batch.takeIf { !it.isEmpty }
    }

    private fun forgetExpiredJobs(now: Instant): List<JobIdentifier> {
        if (now - forgottenAt < FORGET_INTERVAL) return emptyList()
        forgottenAt = now
        return transitions.forgetExpiredJobs(now)
    }

    /** Records that [batch] is durable. */
    fun confirm(batch: ProgressBatch) {
        startsInBatch = 0
        for (report in batch.executors) {
            val row = tables.executors[report.identifier] ?: continue
            // It may have restarted since; a new owner has to know this incarnation.
            if (row.report.incarnation == report.incarnation) row.recorded = true
        }
        for ((identifier, number) in batch.ends) {
            val row = tables.executors[identifier] ?: continue
            if (row.report.incarnation == batch.incarnations[identifier]) row.durableEnd = maxOf(row.durableEnd, number)
        }
    }
}
