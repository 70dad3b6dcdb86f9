package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after which an answer is overdue: an executor waits up to 0.7 s for a run to end; the rest is network time. */
private val ANSWER_TIME_LIMIT: Duration = 950.milliseconds

/** Additional time for the other executors of a zone to answer a probe once the answer of one of them is overdue. */
private val PROBE_ANSWER_TIME_LIMIT: Duration = 150.milliseconds

/** Number of overdue executors from which a zone counts as silent; a single one has more likely crashed. */
private const val MIN_OVERDUE_EXECUTORS: Int = 2

/**
 * Time for which a silent zone still counts as silent after its last known executor was removed. Executors of a
 * disconnected zone lapse from the live list after some seconds and reappear within two seconds of the reconnection.
 */
private val EMPTY_ZONE_RETENTION: Duration = 5.seconds

/**
 * Reachability of the availability zones.
 *
 * Calls into a disconnected zone time out one after the other, and idle executors are queried rarely. A zone is
 * therefore assessed as a whole: it is silent when answers are overdue and no executor of it has answered since.
 *
 * @property silent zones of which no executor answers
 * @property probes executors to query at once, because the answer of another one in their zone is overdue
 * @property emptySince silent zones without a known executor, with the time at which the last one was removed
 */
internal data class ZoneReachability(
    val silent: Set<String> = emptySet(),
    val probes: Set<ExecutorIdentifier> = emptySet(),
    val emptySince: Map<String, Instant> = emptyMap(),
)

/** Returns whether an answer of [executor] is overdue. */
internal fun isOverdue(executor: ExecutorRow, now: Instant): Boolean =
    executor.unansweredSince?.let { now - it >= ANSWER_TIME_LIMIT } == true

/** Returns the reachability of the zones of [executors] at [now], given the [previous] assessment. */
internal fun assessZones(
    executors: Collection<ExecutorRow>,
    previous: ZoneReachability,
    now: Instant,
): ZoneReachability {
    val zonesWithExecutors = executors.mapTo(mutableSetOf()) { it.report.zone }
    val emptySince =
        (previous.silent - zonesWithExecutors)
            .associateWith { previous.emptySince[it] ?: now }
            .filterValues { now - it < EMPTY_ZONE_RETENTION }
    val silent = emptySince.keys.toMutableSet()
    val probes = mutableSetOf<ExecutorIdentifier>()
    for ((zone, rows) in executors.groupBy { it.report.zone }) {
        if (rows.none { it.reachable }) silent += zone
        val overdue = rows.filter { isOverdue(it, now) }
        val latestOverdueSince = overdue.mapNotNull { it.unansweredSince }.maxOrNull() ?: continue
        val withoutLaterAnswer = rows.filter { row -> row.listedAt?.let { it < latestOverdueSince } != false }
        withoutLaterAnswer.filter { it.unansweredSince == null }.mapTo(probes) { it.identifier }
        val probed = now - latestOverdueSince >= ANSWER_TIME_LIMIT + PROBE_ANSWER_TIME_LIMIT
        if (probed && overdue.size >= MIN_OVERDUE_EXECUTORS && withoutLaterAnswer.size == rows.size) silent += zone
    }
    return ZoneReachability(silent, probes, emptySince)
}
