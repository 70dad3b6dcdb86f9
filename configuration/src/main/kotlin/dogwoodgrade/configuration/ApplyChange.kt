package dogwoodgrade.configuration

import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationChange.RemoveInstance
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationChange.SetDocument
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.configuration.ConfigurationChange.SetZone
import dogwoodgrade.configuration.ConfigurationChange.WithdrawKey
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.Version
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.map
import kotlin.time.Duration

/**
 * Applies [change] to this state.
 *
 * The function is deterministic: all processes accept or refuse the same change at the same offset. Of two conflicting
 * changes that operators propose at the same time, one is accepted and the other is refused with a result code.
 */
public fun ConfigurationState.apply(change: ConfigurationChange): Outcome<ConfigurationState> =
    when (change) {
        is SetTeam -> setTeam(change)
        is GiveKey -> giveKey(change)
        is WithdrawKey -> withdrawKey(change)
        is SetPool -> setPool(change)
        is AddInstance -> addInstance(change)
        is MoveInstance -> moveInstance(change)
        is DrainInstance -> drainInstance(change)
        is ReturnInstance -> returnInstance(change)
        is RemoveInstance -> removeInstance(change)
        is ObserveFailure -> setFailed(change.instance, failed = true)
        is ObserveRecovery -> setFailed(change.instance, failed = false)
        is SetZone -> setZone(change)
        is SetDocument -> setDocument(change)
    }

private fun ConfigurationState.setTeam(change: SetTeam): Outcome<ConfigurationState> {
    val current = teams[change.name]?.version ?: Version.None
    val staleAfter = change.refuseWhenStaleAfter
    return when {
        change.baseVersion != current -> versionConflict("team ${change.name}", change.baseVersion, current)
        change.share !in 1..Team.MAX_SHARE_OR_UPPER_LIMIT ->
            invalid("share ${change.share} is not in 1..${Team.MAX_SHARE_OR_UPPER_LIMIT}")
        change.upperLimit !in 0..Team.MAX_SHARE_OR_UPPER_LIMIT ->
            invalid("upper limit ${change.upperLimit} is not in 0..${Team.MAX_SHARE_OR_UPPER_LIMIT}")
        staleAfter != null && staleAfter.isNegative() -> invalid("refuseWhenStaleAfter $staleAfter is negative")
        else -> {
            val team = Team(change.name, change.share, change.upperLimit, staleAfter, current.next)
            Success(copy(teams = teams + (team.name to team)))
        }
    }
}

private fun ConfigurationState.giveKey(change: GiveKey): Outcome<ConfigurationState> {
    val holder = keys[change.digest]
    return when {
        change.team !in teams -> Failure(ResultCode.UnknownTeam, "team ${change.team} does not exist")
        holder == change.team -> unchanged("key ${change.digest} is already given to team ${change.team}")
        holder != null -> Failure(ResultCode.KeyTaken, "key ${change.digest} is given to another team")
        else -> Success(copy(keys = keys + (change.digest to change.team)))
    }
}

private fun ConfigurationState.withdrawKey(change: WithdrawKey): Outcome<ConfigurationState> =
    if (keys[change.digest] == change.team) {
        Success(copy(keys = keys - change.digest))
    } else {
        unchanged("key ${change.digest} is not given to team ${change.team}")
    }

private fun ConfigurationState.setPool(change: SetPool): Outcome<ConfigurationState> {
    val current = pools[change.name]?.version ?: Version.None
    val server = poolOf(change.service)
    return when {
        change.baseVersion != current -> versionConflict("pool ${change.name}", change.baseVersion, current)
        server != null && server.name != change.name ->
            Failure(ResultCode.AlreadyExists, "service ${change.service} is served by pool ${server.name}")
        else ->
            validate(change).flatMap {
                val pool =
                    Pool(
                        change.name,
                        change.service,
                        change.slotsPerEndpoint,
                        change.connectionsPerEndpoint,
                        change.taskLease,
                        change.availabilityBudget,
                        change.urgentReserve,
                        change.open,
                        current.next,
                    )
                Success(copy(pools = pools + (pool.name to pool)))
            }
    }
}

private fun validate(change: SetPool): Outcome<Unit> =
    when {
        change.slotsPerEndpoint !in 1..Pool.MAX_SLOTS_OR_CONNECTIONS ->
            invalid("slotsPerEndpoint ${change.slotsPerEndpoint} is not in 1..${Pool.MAX_SLOTS_OR_CONNECTIONS}")
        change.connectionsPerEndpoint !in 1..Pool.MAX_SLOTS_OR_CONNECTIONS ->
            invalid(
                "connectionsPerEndpoint ${change.connectionsPerEndpoint} is not in 1..${Pool.MAX_SLOTS_OR_CONNECTIONS}",
            )
        change.taskLease <= Duration.ZERO || change.taskLease > Pool.MAX_TASK_LEASE ->
            invalid("task lease ${change.taskLease} is not above 0 and at most ${Pool.MAX_TASK_LEASE}")
        change.availabilityBudget < 0 -> invalid("availability budget ${change.availabilityBudget} is negative")
        change.urgentReserve < 0 -> invalid("urgent reserve ${change.urgentReserve} is negative")
        else -> Success(Unit)
    }

private fun ConfigurationState.addInstance(change: AddInstance): Outcome<ConfigurationState> =
    when {
        change.name in instances -> Failure(ResultCode.AlreadyExists, "instance ${change.name} exists")
        change.pool !in pools -> Failure(ResultCode.UnknownPool, "pool ${change.pool} does not exist")
        !isAddress(change.address) -> invalid("address \"${change.address}\" is not host:port")
        else -> {
            val instance =
                Instance(change.name, change.address, change.zone, change.rack, change.worker, change.pool)
            Success(copy(instances = instances + (instance.name to instance)))
        }
    }

private fun isAddress(text: String): Boolean {
    val port = text.substringAfterLast(':', "").toIntOrNull()
    return port != null && port in 1..65_535 && text.length <= 255 && text.substringBeforeLast(':').isNotBlank()
}

private fun ConfigurationState.moveInstance(change: MoveInstance): Outcome<ConfigurationState> =
    withInstance(change.instance) { instance ->
        when {
            change.to !in pools -> Failure(ResultCode.UnknownPool, "pool ${change.to} does not exist")
            change.from == change.to -> unchanged("instance ${change.instance} is in pool ${change.to}")
            instance.pool != change.from ->
                Failure(
                    ResultCode.InstanceInOtherPool,
                    "instance ${change.instance} is in pool ${instance.pool}, not in ${change.from}",
                )
            else -> checkMove(instance, change.to).map { replacing(instance.copy(pool = change.to)) }
        }
    }

private fun ConfigurationState.drainInstance(change: DrainInstance): Outcome<ConfigurationState> =
    withInstance(change.instance) { instance ->
        when {
            change.wave.length !in 1..MAX_WAVE_LENGTH -> invalid("wave has ${change.wave.length} characters")
            instance.draining -> unchanged("instance ${instance.name} is draining for wave ${instance.wave}")
            else -> checkDrain(instance).flatMap { Success(replacing(instance.copy(wave = change.wave))) }
        }
    }

private fun ConfigurationState.returnInstance(change: ReturnInstance): Outcome<ConfigurationState> =
    withInstance(change.instance) { instance ->
        if (instance.wave != change.wave) {
            unchanged("instance ${instance.name} is not draining for wave ${change.wave}")
        } else {
            val maintainedAt = change.maintainedAt ?: instance.maintainedAt
            Success(replacing(instance.copy(wave = null, maintainedAt = maintainedAt)))
        }
    }

private fun ConfigurationState.removeInstance(change: RemoveInstance): Outcome<ConfigurationState> =
    withInstance(change.instance) { instance ->
        if (instance.draining || instance.failed) {
            Success(copy(instances = instances - instance.name))
        } else {
            Failure(ResultCode.BudgetExceeded, "instance ${instance.name} is in use; drain it first")
        }
    }

private fun ConfigurationState.setFailed(name: InstanceName, failed: Boolean): Outcome<ConfigurationState> =
    withInstance(name) { instance ->
        if (instance.failed == failed) {
            unchanged("instance $name is already recorded as ${if (failed) "failed" else "recovered"}")
        } else {
            Success(replacing(instance.copy(failed = failed)))
        }
    }

private fun ConfigurationState.setZone(change: SetZone): Outcome<ConfigurationState> {
    val current = versionOf(change.zone)
    return when {
        change.baseVersion != current -> versionConflict("zone ${change.zone}", change.baseVersion, current)
        isInService(change.zone) == change.inService ->
            unchanged("zone ${change.zone} is ${if (change.inService) "in" else "out of"} service")
        else -> Success(copy(zones = zones + (change.zone to Zone(change.zone, change.inService, current.next))))
    }
}

private fun ConfigurationState.setDocument(change: SetDocument): Outcome<ConfigurationState> {
    val key = DocumentKey(change.name, change.schemaVersion)
    val current = documents[key]?.version ?: Version.None
    val size = change.content.encodeToByteArray().size
    return when {
        change.baseVersion != current ->
            versionConflict("document ${change.name} schema ${change.schemaVersion}", change.baseVersion, current)
        change.schemaVersion < 1 -> invalid("schema version ${change.schemaVersion} is below 1")
        size > Document.MAX_CONTENT_BYTES -> invalid("content has $size bytes, above ${Document.MAX_CONTENT_BYTES}")
        else -> Success(copy(documents = documents + (key to Document(key, change.content, current.next))))
    }
}

/** Largest length of the name of a wave, in characters. */
private const val MAX_WAVE_LENGTH = 63

private inline fun ConfigurationState.withInstance(
    name: InstanceName,
    change: (Instance) -> Outcome<ConfigurationState>,
): Outcome<ConfigurationState> =
    instances[name]?.let(change) ?: Failure(ResultCode.UnknownInstance, "instance $name does not exist")

private fun ConfigurationState.replacing(instance: Instance): ConfigurationState =
    copy(instances = instances + (instance.name to instance))

private fun versionConflict(item: String, base: Version, current: Version): Failure =
    Failure(ResultCode.VersionConflict, "$item is at version $current, the change was based on version $base")

private fun invalid(message: String): Failure = Failure(ResultCode.InvalidValue, message)

private fun unchanged(message: String): Failure = Failure(ResultCode.StateUnchanged, message)
