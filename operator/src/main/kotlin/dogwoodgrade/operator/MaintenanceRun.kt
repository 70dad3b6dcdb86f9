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

/** Time between two rounds: entries count a new heartbeat each second. */
private val RoundPause: Duration = 1.seconds

/**
 * Carries out a wave or roll-out until it is finished or halted.
 *
 * Everything that must survive this process is in the folded state. Only reboots under way are not; a process that
 * goes on after another one waits for them again.
 *
 * @param rebootTime time after which an instance that was given free counts as rebooted
 * @param goAhead suspends until the operator agrees to the reboot of the instances
 */
internal class MaintenanceRun(
    private val context: OperatorContext,
    private val plan: MaintenancePlan,
    private val rebootTime: Duration,
    private val goAhead: suspend (Set<InstanceName>) -> Boolean,
) {
    private val session = context.session
    private val rebootsSince = HashMap<InstanceName, Instant>()
    private var observations = DrainObservations()
    private var lastJoined: Map<EntryIdentity, JoinedEntry> = emptyMap()
    private val endedAt = HashMap<EntryIdentity, Instant>()
    private var lastMessage = ""

    /** Runs to the end. */
    suspend fun run(): CommandResult {
        while (true) {
            when (val read = session.refresh()) {
                is Failure -> report("waiting for the log service: ${read.message}")
                is Success -> round(read.value)?.let { return it }
            }
            delay(RoundPause)
        }
    }

    private suspend fun round(state: ControlState): CommandResult? {
        val entries = observe(state)
        val steps =
            planDrainSteps(state.configuration, observations, entries, ::rebootOf, context.now())
                .filterKeys { state.configuration.instances[it]?.wave == plan.name }
        val free = steps.filterValues { it is DrainStep.Reboot }.keys
        if (free.isNotEmpty() && goAhead(free)) {
            report("rebooting ${free.joinToString()}")
            free.forEach { rebootsSince[it] = context.now() }
        }
        for ((instance, step) in steps) {
            if (step is DrainStep.Propose && proposed(step.change, "returned $instance")) rebootsSince.remove(instance)
        }
        return advance(steps)
    }

    private suspend fun advance(steps: Map<InstanceName, DrainStep>): CommandResult? {
        when (val next = nextStep(session.state.configuration, plan, context.now())) {
            is RolloutStep.NextBatch -> next.drains.forEach { proposed(it, "draining ${it.instance}") }
            is RolloutStep.Wait -> report("waiting: ${next.reason}${describe(steps)}")
            is RolloutStep.Halted ->
                return CommandResult(ResultCode.MaintenanceHalted, "failed instances: ${next.failed.joinToString()}")
            RolloutStep.Superseded ->
                return CommandResult(ResultCode.VersionConflict, "another version of the document was published")
            RolloutStep.Finished -> return CommandResult(ResultCode.Accepted, "${plan.name} is finished")
        }
        return null
    }

    private suspend fun observe(state: ControlState): DrainEntries {
        val time = context.now()
        val joined = state.entries.values.associateBy { it.identity }
        val quarantined = state.permits.teams.values
            .flatMap { it.quarantined.keys }
        // An entry that is gone counts as ended: at worst the drain waits for the task lease.
        for (entry in lastJoined.keys - joined.keys + quarantined) endedAt.getOrPut(entry) { time }
        lastJoined = joined
        observations = observations.follow(state.configuration, state.offset, time)
        for ((entry, answer) in queryAll(joined.values, "/loads", context.query)) {
            answer?.let { reportOf(entry, it) }?.let { observations = observations.record(it) }
        }
        return DrainEntries(joined.keys, endedAt)
    }

    private fun rebootOf(instance: InstanceName): RebootProgress {
        val since = rebootsSince[instance] ?: return RebootProgress.NotStarted
        return if (context.now() - since < rebootTime) RebootProgress.Running else RebootProgress.Succeeded
    }

    private suspend fun proposed(change: dogwoodgrade.configuration.ConfigurationChange, message: String): Boolean =
        when (val outcome = session.propose(change)) {
            is Success -> true.also { report("$message at offset ${outcome.value.offset}") }
            is Failure -> {
                report("not $message: ${outcome.code}: ${outcome.message}")
                outcome.code == ResultCode.StateUnchanged
            }
        }

    private fun report(message: String) {
        if (message != lastMessage) context.progress(message)
        lastMessage = message
    }
}

private fun describe(steps: Map<InstanceName, DrainStep>): String {
    val waiting = steps.filterValues { it is DrainStep.WaitForRequests }.keys
    return if (waiting.isEmpty()) "" else ", requests may run on ${waiting.joinToString()}"
}

/** Returns the report in an answer to `/loads`, or `null` if it lacks a field. */
internal fun reportOf(entry: EntryIdentity, answer: JsonObject): InFlightReport? {
    val heartbeat = longIn(answer, "heartbeat") ?: return null
    val offset = longIn(answer, "offset") ?: return null
    val loads = answer["inFlight"]?.jsonObject ?: return null
    val inFlight = loads.entries.associate { (name, count) -> InstanceName(name) to count.jsonPrimitive.int }
    return InFlightReport(entry, heartbeat, Offset(offset), inFlight)
}
