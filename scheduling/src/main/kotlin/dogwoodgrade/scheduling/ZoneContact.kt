package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after which an answer is overdue: an executor waits up to 0.7 s for an end, and some time goes to travel. */
private val answerTime: Duration = 950.milliseconds

/** Time for the other executors of a zone to answer once one of them is overdue. */
private val probeTime: Duration = 150.milliseconds

/** Overdue executors from which a zone counts as silent; a single one has more likely crashed. */
private const val OVERDUE_IN_SILENT_ZONE: Int = 2

/**
 * Time for which a silent zone that has lost its last known executor still counts as silent. Executors of a zone that
 * is cut off lapse from the live list after some seconds, and come back to it within two seconds of their return.
 */
private val emptyZoneTime: Duration = 5.seconds

/**
 * Which availability zones answer.
 *
 * Calls into a zone that is cut off time out one after the other, and idle executors are asked rarely. A zone is
 * therefore judged as a whole: it is silent when answers are overdue and no executor of it has answered since.
 *
 * @property silent zones of which no executor answers
 * @property probes executors to ask at once, since another one of their zone is overdue
 * @property emptySince silent zones without a known executor, with the time at which the last one was dropped
 */
internal data class ZoneContact(
    val silent: Set<String> = emptySet(),
    val probes: Set<ExecutorIdentifier> = emptySet(),
    val emptySince: Map<String, Instant> = emptyMap(),
)

/** Tells whether an answer of [executor] is overdue. */
internal fun isOverdue(executor: ExecutorRow, now: Instant): Boolean =
    executor.unansweredSince?.let { now - it >= answerTime } == true

/** Judges the zones of [executors] by what was asked and answered until [now], after [previous]. */
internal fun zoneContact(executors: Collection<ExecutorRow>, previous: ZoneContact, now: Instant): ZoneContact {
    val known = executors.mapTo(mutableSetOf()) { it.report.zone }
    val emptySince =
        (previous.silent - known)
            .associateWith { previous.emptySince[it] ?: now }
            .filterValues { now - it < emptyZoneTime }
    val silent = emptySince.keys.toMutableSet()
    val probes = mutableSetOf<ExecutorIdentifier>()
    for ((zone, rows) in executors.groupBy { it.report.zone }) {
        if (rows.none { it.reachable }) silent += zone
        val overdue = rows.filter { isOverdue(it, now) }
        val doubtedAt = overdue.mapNotNull { it.unansweredSince }.maxOrNull() ?: continue
        val quiet = rows.filter { row -> row.listedAt?.let { it < doubtedAt } != false }
        quiet.filter { it.unansweredSince == null }.mapTo(probes) { it.identifier }
        val probed = now - doubtedAt >= answerTime + probeTime
        if (probed && overdue.size >= OVERDUE_IN_SILENT_ZONE && quiet.size == rows.size) silent += zone
    }
    return ZoneContact(silent, probes, emptySince)
}
