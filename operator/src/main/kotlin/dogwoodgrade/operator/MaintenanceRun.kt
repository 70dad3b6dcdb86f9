package dogwoodgrade.operator

import dogwoodgrade.control.ControlState
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.maintenance.DrainEntries
import dogwoodgrade.maintenance.DrainObservations
import dogwoodgrade.maintenance.DrainStep
import dogwoodgrade.maintenance.InFlightReport
import dogwoodgrade.maintenance.RebootProgress
import dogwoodgrade.maintenance.RolloutStep
import dogwoodgrade.maintenance.planDrainSteps
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Pause between two rounds. Entries increase their heartbeat once per second, so shorter rounds see no new reports. */
private val ROUND_PAUSE: Duration = 1.seconds

/**
 * Carries out a wave or rollout until it is finished or halted.
 *
 * Everything that must survive this process is in the folded state, except for reboots in progress: a process that
 * continues the plan waits the full [rebootDuration] again.
 *
 * @param rebootDuration time after the start of a reboot at which the instance counts as rebooted
 * @param confirmReboot suspends until the operator has answered whether the instances may be rebooted
 */
internal class MaintenanceRun(
    private val context: OperatorContext,
    private val plan: MaintenancePlan,
    private val rebootDuration: Duration,
    private val confirmReboot: suspend (Set<InstanceName>) -> Boolean,
) {
    private val session = context.session
    private val rebootStart = HashMap<InstanceName, Instant>()
    private var observations = DrainObservations()
    private var lastJoined: Map<EntryIdentity, JoinedEntry> = emptyMap()
    private val endedAt = HashMap<EntryIdentity, Instant>()
    private var lastMessage = ""

    /** Runs until the plan is finished, halted or superseded. */
    suspend fun run(): CommandResult {
        while (true) {
            when (val read = session.refresh()) {
                is Failure -> reportProgress("waiting for the log service: ${read.message}")
                is Success -> runRound(read.value)?.let { return it }
            }
            delay(ROUND_PAUSE)
        }
    }

    private suspend fun runRound(state: ControlState): CommandResult? {
        val entries = updateObservations(state)
        val steps =
            planDrainSteps(state.configuration, observations, entries, ::rebootProgressOf, context.now())
                .filterKeys { state.configuration.instances[it]?.wave == plan.name }
        val rebootable = steps.filterValues { it is DrainStep.Reboot }.keys
        if (rebootable.isNotEmpty() && confirmReboot(rebootable)) {
            reportProgress("rebooting ${rebootable.joinToString()}")
            rebootable.forEach { rebootStart[it] = context.now() }
        }
        for ((instance, step) in steps) {
            if (step is DrainStep.Propose && tryPropose(step.change, "returned $instance")) rebootStart.remove(instance)
        }
        return advance(steps)
    }

    private suspend fun advance(steps: Map<InstanceName, DrainStep>): CommandResult? {
        when (val next = nextStep(session.state.configuration, plan, context.now())) {
            is RolloutStep.NextBatch -> next.drains.forEach { tryPropose(it, "draining ${it.instance}") }
            is RolloutStep.Wait -> reportProgress("waiting: ${next.reason}${describeRunningRequests(steps)}")
            is RolloutStep.Halted ->
                return CommandResult(ResultCode.MaintenanceHalted, "failed instances: ${next.failed.joinToString()}")
            RolloutStep.Superseded ->
                return CommandResult(ResultCode.VersionConflict, "another version of the document was published")
            RolloutStep.Finished -> return CommandResult(ResultCode.Accepted, "${plan.name} is finished")
        }
        return null
    }

    private suspend fun updateObservations(state: ControlState): DrainEntries {
        val time = context.now()
        val joined = state.entries.values.associateBy { it.identity }
        val quarantined = state.permits.teams.values
            .flatMap { it.quarantined.keys }
        // An entry that is no longer joined counts as ended: at worst the drain waits for the task lease.
        for (entry in lastJoined.keys - joined.keys + quarantined) endedAt.getOrPut(entry) { time }
        lastJoined = joined
        observations = observations.trackDrains(state.configuration, state.offset, time)
        for ((entry, answer) in queryAll(joined.values, "/loads", context.query)) {
            answer?.let { inFlightReportOf(entry, it) }?.let { observations = observations.record(it) }
        }
        return DrainEntries(joined.keys, endedAt)
    }

    private fun rebootProgressOf(instance: InstanceName): RebootProgress {
        val since = rebootStart[instance] ?: return RebootProgress.NotStarted
        return if (context.now() - since < rebootDuration) RebootProgress.Running else RebootProgress.Succeeded
    }

    /** Proposes [change]; returns `true` if it was accepted or was already in effect. */
    private suspend fun tryPropose(change: dogwoodgrade.configuration.ConfigurationChange, message: String): Boolean =
        when (val outcome = session.propose(change)) {
            is Success -> true.also { reportProgress("$message at offset ${outcome.value.offset}") }
            is Failure -> {
                reportProgress("not $message: ${outcome.code}: ${outcome.message}")
                outcome.code == ResultCode.StateUnchanged
            }
        }

    private fun reportProgress(message: String) {
        if (message != lastMessage) context.progress(message)
        lastMessage = message
    }
}

private fun describeRunningRequests(steps: Map<InstanceName, DrainStep>): String {
    val waiting = steps.filterValues { it is DrainStep.WaitForRequests }.keys
    return if (waiting.isEmpty()) "" else ", requests may still run on ${waiting.joinToString()}"
}

/** Parses the answer of [entry] to `/loads`; returns `null` if a field is missing. */
internal fun inFlightReportOf(entry: EntryIdentity, answer: JsonObject): InFlightReport? {
    val heartbeat = longField(answer, "heartbeat") ?: return null
    val offset = longField(answer, "offset") ?: return null
    val loads = answer["inFlight"]?.jsonObject ?: return null
    val inFlight = loads.entries.associate { (name, count) -> InstanceName(name) to count.jsonPrimitive.int }
    return InFlightReport(entry, heartbeat, Offset(offset), inFlight)
}
