package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What an entry reports about its requests in flight.
 *
 * @property sequence number of the report; a report that is not newer than the last one of its entry is ignored
 * @property appliedOffset offset of the state that the entry routed by when it counted
 * @property inFlight its requests in flight by instance; an instance that is missing has none
 */
public data class InFlightReport(
    public val entry: EntryIdentity,
    public val sequence: Long,
    public val appliedOffset: Offset,
    public val inFlight: Map<InstanceName, Int>,
)

/**
 * When a drain took effect, as seen by the process that decides.
 *
 * @property wave the wave of the drain, so that a later drain of the same instance starts anew
 * @property offset the first offset of states that contain the drain
 * @property foldedAt when this process folded the drain
 */
public data class DrainStart(
    public val wave: String,
    public val offset: Offset,
    public val foldedAt: Instant,
)

/** The drains that are under way and the last two reports of every entry, newest first. */
public data class DrainObservations(
    public val starts: Map<InstanceName, DrainStart> = emptyMap(),
    public val reports: Map<EntryIdentity, List<InFlightReport>> = emptyMap(),
) {
    /** Adds a report. */
    public fun record(report: InFlightReport): DrainObservations {
        val known = reports[report.entry].orEmpty()
        if (known.isNotEmpty() && known.first().sequence >= report.sequence) return this
        return copy(reports = reports + (report.entry to (listOf(report) + known).take(REPORTS_NEEDED)))
    }

    /** Follows the drains of [state], the state at [offset]. */
    public fun follow(state: ConfigurationState, offset: Offset, now: Instant): DrainObservations {
        val draining = LinkedHashMap<InstanceName, DrainStart>()
        for (instance in state.instances.values) {
            val wave = instance.wave ?: continue
            draining[instance.name] =
                starts[instance.name]?.takeIf { it.wave == wave } ?: DrainStart(wave, offset, now)
        }
        return copy(starts = draining)
    }

    public companion object {
        /** Consecutive reports of zero that each entry has to send; the second covers a request that was starting. */
        public const val REPORTS_NEEDED: Int = 2

        /** Added to the task lease: an entry folds the drain within 3 s, and clocks of workers differ by up to 1 s. */
        public val LeaseMargin: Duration = 4.seconds
    }
}

/**
 * The entries whose requests may run on a draining instance.
 *
 * @property joined all entries that joined and neither left nor ended, suspected ones included: a suspected entry may
 * still run requests
 * @property endedAt when this process folded the end of an entry; its orphaned tasks run until their leases expire.
 * Entries that left are not listed, as they finish their requests first.
 */
public data class DrainEntries(
    public val joined: Collection<EntryIdentity>,
    public val endedAt: Map<EntryIdentity, Instant> = emptyMap(),
)

/** Progress of the reboot of an instance, as the platform states it. */
public enum class RebootProgress {
    NotStarted,
    Running,
    Succeeded,
    Failed,
}

/** What to do next with a draining instance. */
public sealed interface DrainStep {
    /** Requests may still run; [entries] have not reported zero twice, or ended a short time ago. */
    public data class WaitForRequests(public val entries: Set<EntryIdentity>) : DrainStep

    /** Nothing runs on the instance; the platform may reboot it. */
    public data class Reboot(public val leaseExpired: Boolean) : DrainStep

    /** The reboot is under way. */
    public data object WaitForReboot : DrainStep

    /** Append [change]. */
    public data class Propose(public val change: ConfigurationChange) : DrainStep
}

/**
 * Tells for each draining instance what to do next.
 *
 * An instance may be rebooted when every joined entry has sent two consecutive reports of zero that were counted with
 * the drain in effect and the task leases of ended entries have expired, or when the task lease of its pool has
 * expired since the drain.
 *
 * An instance whose reboot failed is recorded as failed and then returned without a new maintenance time, so that it
 * stays due and does not hold back planned work in other zones.
 */
public fun planDrainSteps(
    state: ConfigurationState,
    observations: DrainObservations,
    entries: DrainEntries,
    reboots: (InstanceName) -> RebootProgress,
    now: Instant,
): Map<InstanceName, DrainStep> {
    val steps = LinkedHashMap<InstanceName, DrainStep>()
    for (instance in state.instances.values) {
        val wave = instance.wave ?: continue
        steps[instance.name] =
            when (reboots(instance.name)) {
                RebootProgress.NotStarted -> beforeReboot(state, instance, observations, entries, now)
                RebootProgress.Running -> DrainStep.WaitForReboot
                RebootProgress.Succeeded -> DrainStep.Propose(ReturnInstance(instance.name, wave, now))
                RebootProgress.Failed ->
                    DrainStep.Propose(
                        if (instance.failed) {
                            ReturnInstance(instance.name, wave, null)
                        } else {
                            ObserveFailure(instance.name)
                        },
                    )
            }
    }
    return steps
}

private fun beforeReboot(
    state: ConfigurationState,
    instance: Instance,
    observations: DrainObservations,
    entries: DrainEntries,
    now: Instant,
): DrainStep {
    val start = observations.starts[instance.name]?.takeIf { it.wave == instance.wave }
    val lease = state.pools[instance.pool]?.taskLease
    val expired = { since: Instant -> lease != null && now - since >= lease + DrainObservations.LeaseMargin }
    val waiting =
        entries.joined.filterTo(LinkedHashSet()) { start == null || !isIdle(observations, it, instance, start) }
    waiting += entries.endedAt.filterValues { !expired(it) }.keys
    return when {
        waiting.isEmpty() ||
            (
                start != null &&
                    expired(
                        start.foldedAt,
                    )
            ) -> DrainStep.Reboot(leaseExpired = waiting.isNotEmpty())
        else -> DrainStep.WaitForRequests(waiting)
    }
}

private fun isIdle(
    observations: DrainObservations,
    entry: EntryIdentity,
    instance: Instance,
    start: DrainStart,
): Boolean {
    val reports = observations.reports[entry].orEmpty()
    return reports.size == DrainObservations.REPORTS_NEEDED &&
        reports.all { it.appliedOffset >= start.offset && (it.inFlight[instance.name] ?: 0) == 0 }
}
