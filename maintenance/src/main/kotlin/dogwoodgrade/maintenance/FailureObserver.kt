package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What readings of the live list have shown so far: since when each instance is listed, or missing. Local to one
 * observer; an immutable value that each reading replaces.
 */
public data class ListHistory(
    public val listedSince: Map<InstanceName, Instant> = emptyMap(),
    public val missingSince: Map<InstanceName, Instant> = emptyMap(),
)

/** Result of one reading: the next history and the observations to propose. */
public data class ListVerdict(
    public val history: ListHistory,
    public val changes: List<ConfigurationChange>,
)

/**
 * Time for which an instance must be missing before it is recorded as failed. Above the lag of the list and the time of
 * a quick restart, so that the 770 replacements of a day do not become failures.
 */
public val FailedAfter: Duration = 10.seconds

/** Time for which a failed instance must be listed again before its recovery is recorded. */
public val RecoveredAfter: Duration = 5.seconds

/**
 * Takes one reading of the live list, [listed], and proposes which failures and recoveries to record.
 *
 * Recorded failures count against availability budgets. A reading that misses more than half of the instances in use is
 * not believed: losing a zone or a rack never takes so many, while a faulty list may be empty.
 */
public fun observeList(
    state: ConfigurationState,
    history: ListHistory,
    listed: Set<InstanceName>,
    now: Instant,
): ListVerdict {
    val observed = state.instances.values.filter { !it.draining }
    val missing = observed.map(Instance::name).filter { it !in listed }
    if (missing.size * 2 > observed.size) return ListVerdict(ListHistory(), emptyList())
    val next =
        ListHistory(
            listedSince = observed.map(Instance::name).filter { it in listed }.associateWith {
                history.listedSince[it]
                    ?: now
            },
            missingSince = missing.associateWith { history.missingSince[it] ?: now },
        )
    val failures =
        observed
            .filter { !it.failed && isOlder(next.missingSince[it.name], FailedAfter, now) }
            .map { ConfigurationChange.ObserveFailure(it.name) }
    val recoveries =
        observed
            .filter { it.failed && isOlder(next.listedSince[it.name], RecoveredAfter, now) }
            .map { ConfigurationChange.ObserveRecovery(it.name) }
    return ListVerdict(next, failures + recoveries)
}

private fun isOlder(since: Instant?, bound: Duration, now: Instant): Boolean = since != null && now - since >= bound
