package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * History of the readings of the live list that one observer has taken.
 *
 * @property listedSince time since which each listed instance has been listed
 * @property missingSince time since which each missing instance has been missing
 */
public data class LiveListHistory(
    public val listedSince: Map<InstanceName, Instant> = emptyMap(),
    public val missingSince: Map<InstanceName, Instant> = emptyMap(),
)

/**
 * Result of one reading of the live list.
 *
 * @property history history for the next reading
 * @property changes failures and recoveries to propose
 */
public data class LiveListReading(
    public val history: LiveListHistory,
    public val changes: List<ConfigurationChange>,
)

/**
 * Time for which an instance must be missing before it is recorded as failed. It exceeds the lag of the list and the
 * time of a quick restart, so that the 770 replacements a day are not recorded as failures.
 */
public val FAILED_AFTER: Duration = 10.seconds

/** Time for which a failed instance must be listed again before its recovery is recorded. */
public val RECOVERED_AFTER: Duration = 5.seconds

/**
 * Takes one reading of the live list, [listed], and proposes which failures and recoveries to record.
 *
 * Recorded failures count against availability budgets. A reading in which more than half of the observed instances are
 * missing is discarded together with the history: the loss of a zone or a rack never affects as many, while a faulty
 * list may be empty.
 */
public fun observeLiveList(
    state: ConfigurationState,
    history: LiveListHistory,
    listed: Set<InstanceName>,
    now: Instant,
): LiveListReading {
    val observed = state.instances.values.filter { !it.draining }
    val missing = observed.map(Instance::name).filter { it !in listed }
    if (missing.size * 2 > observed.size) return LiveListReading(LiveListHistory(), emptyList())
    val next =
        LiveListHistory(
            listedSince = observed.map(Instance::name).filter { it in listed }.associateWith {
                history.listedSince[it]
                    ?: now
            },
            missingSince = missing.associateWith { history.missingSince[it] ?: now },
        )
    val failures =
        observed
            .filter { !it.failed && hasLasted(next.missingSince[it.name], FAILED_AFTER, now) }
            .map { ConfigurationChange.ObserveFailure(it.name) }
    val recoveries =
        observed
            .filter { it.failed && hasLasted(next.listedSince[it.name], RECOVERED_AFTER, now) }
            .map { ConfigurationChange.ObserveRecovery(it.name) }
    return LiveListReading(next, failures + recoveries)
}

private fun hasLasted(since: Instant?, duration: Duration, now: Instant): Boolean =
    since != null && now - since >= duration
