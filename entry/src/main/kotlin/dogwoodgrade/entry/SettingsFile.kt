package dogwoodgrade.entry

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.PeerCandidate
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serialized form of the TOML settings file of an entry process. All errors of a file are reported together, so that an
 * operator does not have to start the process once per error.
 */
@Serializable
internal data class SettingsForm(
    val entry: EntryForm = EntryForm(),
    val listen: ListenForm = ListenForm(),
    val platform: PlatformForm = PlatformForm(),
    val peers: PeersForm = PeersForm(),
    val limits: LimitsForm = LimitsForm(),
)

@Serializable
internal data class EntryForm(val name: String = "", val zone: String = "")

@Serializable
internal data class ListenForm(
    val host: String = "127.0.0.1",
    val callerPort: Int = 8080,
    val peerPort: Int = 8081,
    val operatorPort: Int = 8082,
)

@Serializable
internal data class PlatformForm(val log: String = "", val liveList: String = "")

@Serializable
internal data class PeersForm(val addresses: List<String> = emptyList())

@Serializable
internal data class LimitsForm(
    val maximumBodyBytes: Int = 1024 * 1024,
    val maximumRequests: Int = 4096,
    val queueBound: Int = 256,
    val defaultDeadlineMilliseconds: Int = 30_000,
    val workers: Int = 4,
    val shutdownMilliseconds: Int = 120_000,
)

private val settingsToml = Toml(inputConfig = TomlInputConfig(ignoreUnknownNames = false))

/** Parses and validates the text of a settings file; a failure lists all errors. */
internal fun parseSettings(text: String): Outcome<Settings> {
    val form =
        try {
            settingsToml.decodeFromString(SettingsForm.serializer(), text)
        } catch (failure: IllegalArgumentException) {
            return invalid(listOf(failure.message?.lineSequence()?.first() ?: "the file cannot be parsed"))
        }
    val errors = settingsErrors(form)
    return if (errors.isEmpty()) Outcome.Success(settingsOf(form)) else invalid(errors)
}

private fun invalid(errors: List<String>): Outcome.Failure =
    Outcome.Failure(ResultCode.InvalidSettings, errors.joinToString("; "))

private fun settingsErrors(form: SettingsForm): List<String> =
    listOfNotNull(
        errorUnless(EntryName.parseOrNull(form.entry.name) != null, "entry.name \"${form.entry.name}\" is not a name"),
        errorUnless(
            AvailabilityZone.parseOrNull(form.entry.zone) != null,
            "entry.zone \"${form.entry.zone}\" is not a name",
        ),
        errorUnless(form.listen.host.isNotBlank(), "listen.host is empty"),
        portError("listen.callerPort", form.listen.callerPort),
        portError("listen.peerPort", form.listen.peerPort),
        portError("listen.operatorPort", form.listen.operatorPort),
        errorUnless(
            PeerAddress.parseOrNull(form.platform.log) != null,
            "platform.log \"${form.platform.log}\" is not host:port",
        ),
        errorUnless(
            form.platform.liveList.isEmpty() || PeerAddress.parseOrNull(form.platform.liveList) != null,
            "platform.liveList \"${form.platform.liveList}\" is not host:port",
        ),
        rangeError("limits.maximumBodyBytes", form.limits.maximumBodyBytes, 1..64 * 1024 * 1024),
        rangeError("limits.maximumRequests", form.limits.maximumRequests, 1..1_000_000),
        rangeError("limits.queueBound", form.limits.queueBound, 1..100_000),
        rangeError("limits.defaultDeadlineMilliseconds", form.limits.defaultDeadlineMilliseconds, 1..3_600_000),
        rangeError("limits.workers", form.limits.workers, 1..64),
        rangeError("limits.shutdownMilliseconds", form.limits.shutdownMilliseconds, 0..3_600_000),
    ) + form.peers.addresses
        .filter { peerOrNull(it) == null }
        .map { "peers.addresses: \"$it\" is not host:port@zone" }

private fun errorUnless(holds: Boolean, message: String): String? = if (holds) null else message

private fun portError(name: String, port: Int): String? = rangeError(name, port, 0..65_535)

private fun rangeError(name: String, value: Int, range: IntRange): String? =
    errorUnless(value in range, "$name $value is not in ${range.first}..${range.last}")

/** Parses `host:port@zone`; the zone is optional. */
private fun peerOrNull(text: String): PeerCandidate? {
    val address = PeerAddress.parseOrNull(text.substringBefore('@')) ?: return null
    if ('@' !in text) return PeerCandidate(address, null, isAlive = false)
    val zone = AvailabilityZone.parseOrNull(text.substringAfter('@')) ?: return null
    return PeerCandidate(address, zone, isAlive = false)
}

private fun settingsOf(form: SettingsForm): Settings =
    Settings(
        name = EntryName(form.entry.name),
        zone = AvailabilityZone(form.entry.zone),
        host = form.listen.host,
        callerPort = form.listen.callerPort,
        peerPort = form.listen.peerPort,
        operatorPort = form.listen.operatorPort,
        log = checkNotNull(PeerAddress.parseOrNull(form.platform.log)),
        liveList = PeerAddress.parseOrNull(form.platform.liveList),
        peers = form.peers.addresses.mapNotNull(::peerOrNull),
        limits =
            RequestLimits(
                form.limits.maximumBodyBytes,
                form.limits.maximumRequests,
                form.limits.queueBound,
                form.limits.defaultDeadlineMilliseconds.milliseconds,
                form.limits.workers,
                form.limits.shutdownMilliseconds.milliseconds,
            ),
    )
