package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.time.Duration.Companion.milliseconds

private typealias OnSelected = (OperatorCommand) -> Unit

private const val BASE_DESCRIPTION = "version that the change is based on; the current version if absent"

/** Returns the version given with `--base`, or else the [current] one. */
internal fun baseVersion(base: Int?, current: Version?): Version =
    base?.let { Version(it.toLong()) } ?: current ?: Version.None

private fun singleChange(change: (ConfigurationState) -> ConfigurationChange): ChangePlan =
    { Success(listOf(change(it))) }

private fun withInstance(name: String, change: (Instance) -> ConfigurationChange): ChangePlan =
    { state ->
        state.instances[InstanceName(name)]?.let { Success(listOf(change(it))) }
            ?: Failure(ResultCode.UnknownInstance, "instance $name does not exist")
    }

internal class SetTeamCommand(onSelected: OnSelected) :
    ChangeCommand("set-team", "Creates or edits a team", onSelected) {
    val team by argument(ArgType.String, "team")
    val share by option(ArgType.Int, "share", description = "share; 1 for a new team")
    val upperLimit by option(ArgType.Int, "upper-limit", description = "concurrent tasks in the whole fleet")
    val staleAfter by option(ArgType.Int, "refuse-when-stale-after", description = "milliseconds; -1 for never")
    val base by option(ArgType.Int, "base", description = BASE_DESCRIPTION)

    override fun plan(): ChangePlan =
        singleChange { state ->
            val name = TeamName(team)
            val currentTeam = state.teams[name]
            val newStaleAfter = staleAfter?.let { given -> given.takeIf { it >= 0 }?.milliseconds }
            ConfigurationChange.SetTeam(
                name,
                share ?: currentTeam?.share ?: 1,
                upperLimit ?: currentTeam?.upperLimit ?: 0,
                if (staleAfter == null) currentTeam?.refuseWhenStaleAfter else newStaleAfter,
                baseVersion(base, currentTeam?.version),
            )
        }
}

internal class GiveKeyCommand(onSelected: OnSelected) : OperatorCommand("give-key", "Gives a team a key", onSelected) {
    val team by argument(ArgType.String, "team")
    val key by option(ArgType.String, "key", description = "the key; a new one is generated and printed if absent")

    /** Prints a generated key whenever it may have been accepted, because the log stores only its digest. */
    override suspend fun run(context: OperatorContext): CommandResult {
        val text = key ?: newKey(SecureRandom()::nextBytes)
        val change = ConfigurationChange.GiveKey(TeamName(team), KeyDigest.of(text))
        val result = proposeAll(context, singleChange { change })
        val mayBeGiven = result.code in setOf(ResultCode.Accepted, ResultCode.NotConfirmed, ResultCode.LogAnswerLost)
        if (key != null || !mayBeGiven) return result
        return result.copy(tables = result.tables + Table("key", listOf("key"), listOf(listOf(text))))
    }
}

internal class WithdrawKeyCommand(onSelected: OnSelected) :
    ChangeCommand("withdraw-key", "Withdraws a key of a team", onSelected) {
    val key by argument(ArgType.String, "key", "the key, its digest, or the short digest that show prints")

    override fun plan(): ChangePlan =
        { state ->
            val digest = resolveDigest(key, state.keys.keys)
            state.keys[digest]?.let { Success(listOf(ConfigurationChange.WithdrawKey(it, digest))) }
                ?: Failure(ResultCode.StateUnchanged, "key $digest belongs to no team")
        }
}

internal class SetPoolCommand(onSelected: OnSelected) :
    ChangeCommand("set-pool", "Creates or edits a pool", onSelected) {
    val pool by argument(ArgType.String, "pool")
    val service by option(ArgType.String, "service", description = "service; the pool's name for a new pool")
    val slots by option(ArgType.Int, "slots", description = "slots per endpoint")
    val connections by option(ArgType.Int, "connections", description = "connections per endpoint")
    val taskLease by option(ArgType.Int, "task-lease", description = "task lease in milliseconds")
    val budget by option(ArgType.Int, "budget", description = "availability budget, in instances")
    val urgentReserve by option(ArgType.Int, "urgent-reserve", description = "slots reserved for urgent requests")
    val open by option(ArgType.Boolean, "open", description = "accept requests without a key")
    val base by option(ArgType.Int, "base", description = BASE_DESCRIPTION)

    override fun plan(): ChangePlan =
        singleChange { state ->
            val name = PoolName(pool)
            val currentPool = state.pools[name]
            ConfigurationChange.SetPool(
                name,
                service?.let(::ServiceName) ?: currentPool?.service ?: ServiceName(pool),
                slots ?: currentPool?.slotsPerEndpoint ?: 8,
                connections ?: currentPool?.connectionsPerEndpoint ?: 64,
                taskLease?.milliseconds ?: currentPool?.taskLease ?: 60_000.milliseconds,
                budget ?: currentPool?.availabilityBudget ?: 1,
                urgentReserve ?: currentPool?.urgentReserve ?: 1,
                open ?: currentPool?.open ?: false,
                baseVersion(base, currentPool?.version),
            )
        }
}

internal class AddInstanceCommand(onSelected: OnSelected) :
    ChangeCommand("add-instance", "Adds an instance to a pool", onSelected) {
    val instance by argument(ArgType.String, "instance")
    val address by option(ArgType.String, "address", description = "host:port").required()
    val zone by option(ArgType.String, "zone", description = "availability zone").required()
    val rack by option(ArgType.String, "rack", description = "rack").required()
    val worker by option(ArgType.String, "worker", description = "worker; the instance's name if absent")
    val pool by option(ArgType.String, "pool", description = "pool").required()

    override fun plan(): ChangePlan =
        singleChange {
            val workerName = WorkerName(worker ?: instance)
            val zoneName = AvailabilityZone(zone)
            ConfigurationChange.AddInstance(
                InstanceName(instance),
                address,
                zoneName,
                RackName(rack),
                workerName,
                PoolName(pool),
            )
        }
}

internal class MoveInstanceCommand(onSelected: OnSelected) :
    ChangeCommand("move-instance", "Moves an instance to another pool", onSelected) {
    val instance by argument(ArgType.String, "instance")
    val to by argument(ArgType.String, "to", "the new pool")
    val from by option(ArgType.String, "from", description = "pool that it must be in; the current one if absent")

    override fun plan(): ChangePlan =
        withInstance(instance) {
            ConfigurationChange.MoveInstance(it.name, from?.let(::PoolName) ?: it.pool, PoolName(to))
        }
}

internal class DrainCommand(onSelected: OnSelected) : ChangeCommand("drain", "Drains an instance", onSelected) {
    val instance by argument(ArgType.String, "instance")
    val wave by option(ArgType.String, "wave", description = "wave that the drain belongs to").default("manual")

    override fun plan(): ChangePlan = withInstance(instance) { ConfigurationChange.DrainInstance(it.name, wave) }
}

internal class ReturnCommand(onSelected: OnSelected) :
    ChangeCommand("return", "Returns a drained instance", onSelected) {
    val instance by argument(ArgType.String, "instance")

    override fun plan(): ChangePlan =
        withInstance(instance) { ConfigurationChange.ReturnInstance(it.name, it.wave ?: "manual", null) }
}

internal class RemoveCommand(onSelected: OnSelected) :
    ChangeCommand("remove", "Removes a draining or failed instance", onSelected) {
    val instance by argument(ArgType.String, "instance")

    override fun plan(): ChangePlan = withInstance(instance) { ConfigurationChange.RemoveInstance(it.name) }
}

internal class ObserveCommand(private val failed: Boolean, onSelected: OnSelected) :
    ChangeCommand(
        if (failed) "observe-failure" else "observe-recovery",
        if (failed) "Records that an instance has failed" else "Records that a failed instance has recovered",
        onSelected,
    ) {
    val instance by argument(ArgType.String, "instance")

    override fun plan(): ChangePlan =
        withInstance(instance) {
            if (failed) ConfigurationChange.ObserveFailure(it.name) else ConfigurationChange.ObserveRecovery(it.name)
        }
}

internal class ZoneCommand(private val inService: Boolean, onSelected: OnSelected) :
    ChangeCommand(
        if (inService) "zone-in" else "zone-out",
        if (inService) "Returns an availability zone to service" else "Takes an availability zone out of service",
        onSelected,
    ) {
    val zone by argument(ArgType.String, "zone")
    val base by option(ArgType.Int, "base", description = BASE_DESCRIPTION)

    override fun plan(): ChangePlan =
        singleChange { state ->
            val name = AvailabilityZone(zone)
            ConfigurationChange.SetZone(name, inService, baseVersion(base, state.versionOf(name)))
        }
}

internal class SetDocumentCommand(onSelected: OnSelected) :
    ChangeCommand("set-document", "Publishes a file as a document", onSelected) {
    val document by argument(ArgType.String, "document")
    val file by argument(ArgType.String, "file")
    val schema by option(ArgType.Int, "schema", description = "schema version of the content").default(1)
    val base by option(ArgType.Int, "base", description = BASE_DESCRIPTION)

    override fun plan(): ChangePlan =
        { state ->
            val key = DocumentKey(DocumentName(document), schema)
            val content: Outcome<String> =
                runCatching { Files.readString(Path.of(file)) }.fold(
                    { Success(it) },
                    { Failure(ResultCode.InvalidValue, "the file $file cannot be read") },
                )
            when (content) {
                is Failure -> content
                is Success -> {
                    val version = baseVersion(base, state.documents[key]?.version)
                    Success(listOf(ConfigurationChange.SetDocument(key.name, schema, content.value, version)))
                }
            }
        }
}
