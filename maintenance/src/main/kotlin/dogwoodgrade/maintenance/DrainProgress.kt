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
 * Report of an entry on its requests in flight.
 *
 * @property sequence number of the report; a report that is not newer than the last one of its entry is ignored
 * @property appliedOffset offset of the state that the entry used for routing when it counted
 * @property inFlight number of requests in flight by instance; an instance that is missing has none
 */
public data class InFlightReport(
    public val entry: EntryIdentity,
    public val sequence: Long,
    public val appliedOffset: Offset,
    public val inFlight: Map<InstanceName, Int>,
)

/**
 * When a drain took effect, as seen by the process that plans the next step.
 *
 * @property wave wave of the drain; it tells a later drain of the same instance from this one
 * @property offset offset of the first state that contains the drain
 * @property foldedAt time at which this process folded the drain
 */
public data class DrainStart(
    public val wave: String,
    public val offset: Offset,
    public val foldedAt: Instant,
)

/**
 * Observations from which the next step of each drain is planned.
 *
 * @property starts drains that are under way
 * @property reports the last [REQUIRED_IDLE_REPORTS] reports of every entry, newest first
 */
public data class DrainObservations(
    public val starts: Map<InstanceName, DrainStart> = emptyMap(),
    public val reports: Map<EntryIdentity, List<InFlightReport>> = emptyMap(),
) {
    /** Adds [report], unless it is not newer than the last one of its entry. */
    public fun record(report: InFlightReport): DrainObservations {
        val previousReports = reports[report.entry].orEmpty()
        if (previousReports.isNotEmpty() && previousReports.first().sequence >= report.sequence) return this
        return copy(
            reports = reports + (report.entry to (listOf(report) + previousReports).take(REQUIRED_IDLE_REPORTS)),
        )
    }

    /** Adds the drains that are new in [state], the state at [offset], and removes those that have ended. */
    public fun trackDrains(state: ConfigurationState, offset: Offset, now: Instant): DrainObservations {
        val draining = LinkedHashMap<InstanceName, DrainStart>()
        for (instance in state.instances.values) {
            val wave = instance.wave ?: continue
            draining[instance.name] =
                starts[instance.name]?.takeIf { it.wave == wave } ?: DrainStart(wave, offset, now)
        }
        return copy(starts = draining)
    }

    public companion object {
        /**
         * Consecutive reports without requests that each entry has to send; the second covers a request that was
         * starting during the first.
         */
        public const val REQUIRED_IDLE_REPORTS: Int = 2

        /** Added to the task lease: an entry folds the drain within 3 s, and clocks of workers differ by up to 1 s. */
        public val LEASE_MARGIN: Duration = 4.seconds
    }
}

/**
 * The entries whose requests may run on a draining instance.
 *
 * @property joined entries that joined and neither left nor ended; suspected entries are included because they may
 * still run requests
 * @property endedAt time at which this process folded the end of each entry; its orphaned tasks run until their leases
 * expire. Entries that left are not listed, as they finish their requests before they leave.
 */
public data class DrainEntries(
    public val joined: Collection<EntryIdentity>,
    public val endedAt: Map<EntryIdentity, Instant> = emptyMap(),
)

/** Progress of the reboot of an instance, as the platform reports it. */
public enum class RebootProgress {
    NotStarted,
    Running,
    Succeeded,
    Failed,
}

/** Next step for a draining instance. */
public sealed interface DrainStep {
    /** Requests may still run: [entries] have not reported zero twice, or their task leases have not expired yet. */
    public data class WaitForRequests(public val entries: Set<EntryIdentity>) : DrainStep

    /**
     * Nothing runs on the instance; the platform may reboot it.
     *
     * @property leaseExpired the task lease has expired before all entries reported zero
     */
    public data class Reboot(public val leaseExpired: Boolean) : DrainStep

    /** The reboot is under way. */
    public data object WaitForReboot : DrainStep

    /** Append [change] to the log. */
    public data class Propose(public val change: ConfigurationChange) : DrainStep
}

/**
 * Returns the next step for each draining instance.
 *
 * An instance may be rebooted when every joined entry has sent two consecutive reports of zero that were counted with
 * the drain in effect and the task leases of ended entries have expired, or when the task lease of its pool has
 * expired since the drain.
 *
 * An instance whose reboot failed is recorded as failed and then returned without a new maintenance time, so that it
 * stays due and does not block planned work in other zones.
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
                RebootProgress.NotStarted -> nextStepBeforeReboot(state, instance, observations, entries, now)
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

private fun nextStepBeforeReboot(
    state: ConfigurationState,
    instance: Instance,
    observations: DrainObservations,
    entries: DrainEntries,
    now: Instant,
): DrainStep {
    val start = observations.starts[instance.name]?.takeIf { it.wave == instance.wave }
    val lease = state.pools[instance.pool]?.taskLease
    val expired = { since: Instant -> lease != null && now - since >= lease + DrainObservations.LEASE_MARGIN }
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
    return reports.size == DrainObservations.REQUIRED_IDLE_REPORTS &&
        reports.all { it.appliedOffset >= start.offset && (it.inFlight[instance.name] ?: 0) == 0 }
}
