package dogwoodgrade.codec

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The JSON format of records. `docs/records.md` describes the forms in this file for operators; a form never changes
 * within a schema version.
 */
internal val recordJson: Json =
    Json {
        classDiscriminator = "kind"
        explicitNulls = false
        encodeDefaults = false
    }

@Serializable
internal data class RecordForm(
    val identifier: String,
    val schemaVersion: Int,
    val proposer: String,
    val body: BodyForm,
)

@Serializable
internal sealed interface BodyForm

@Serializable
@SerialName("team")
internal data class TeamForm(
    val name: String,
    val share: Int,
    val upperLimit: Int,
    val refuseWhenStaleAfterMilliseconds: Long? = null,
    val baseVersion: Long,
) : BodyForm

@Serializable
@SerialName("key-given")
internal data class KeyGivenForm(val team: String, val digest: String) : BodyForm

@Serializable
@SerialName("key-withdrawn")
internal data class KeyWithdrawnForm(val team: String, val digest: String) : BodyForm

@Serializable
@SerialName("pool")
internal data class PoolForm(
    val name: String,
    val service: String,
    val slotsPerEndpoint: Int,
    val connectionsPerEndpoint: Int,
    val taskLeaseMilliseconds: Long,
    val availabilityBudget: Int,
    val urgentReserve: Int,
    val open: Boolean = false,
    val baseVersion: Long,
) : BodyForm

@Serializable
@SerialName("instance")
internal data class InstanceForm(
    val name: String,
    val address: String,
    val zone: String,
    val rack: String,
    val worker: String,
    val pool: String,
) : BodyForm

@Serializable
@SerialName("instance-moved")
internal data class InstanceMovedForm(val instance: String, val from: String, val to: String) : BodyForm

@Serializable
@SerialName("instance-draining")
internal data class InstanceDrainingForm(val instance: String, val wave: String) : BodyForm

@Serializable
@SerialName("instance-returned")
internal data class InstanceReturnedForm(
    val instance: String,
    val wave: String,
    val maintainedAtMilliseconds: Long? = null,
) : BodyForm

@Serializable
@SerialName("instance-removed")
internal data class InstanceRemovedForm(val instance: String) : BodyForm

@Serializable
@SerialName("instance-failed")
internal data class InstanceFailedForm(val instance: String) : BodyForm

@Serializable
@SerialName("instance-recovered")
internal data class InstanceRecoveredForm(val instance: String) : BodyForm

@Serializable
@SerialName("zone-out")
internal data class ZoneOutForm(val zone: String, val baseVersion: Long) : BodyForm

@Serializable
@SerialName("zone-in")
internal data class ZoneInForm(val zone: String, val baseVersion: Long) : BodyForm

@Serializable
@SerialName("document")
internal data class DocumentForm(
    val name: String,
    val schemaVersion: Int,
    val content: String,
    val baseVersion: Long,
) : BodyForm

@Serializable
@SerialName("entry-joined")
internal data class EntryJoinedForm(
    val entry: String,
    val zone: String,
    val peerAddress: String,
    val operatorAddress: String,
    val newestSchemaVersion: Int,
) : BodyForm

@Serializable
@SerialName("entry-left")
internal data class EntryLeftForm(val entry: String) : BodyForm

@Serializable
@SerialName("entry-ended")
internal data class EntryEndedForm(val entry: String, val evidence: String) : BodyForm

/**
 * [changes] maps a team to release, take and wanted, in this order. Lists keep the records small, since permit reports
 * are the most frequent ones.
 */
@Serializable
@SerialName("permits")
internal data class PermitsForm(
    val entry: String,
    val sequence: Long,
    val changes: Map<String, List<Int>>,
) : BodyForm

@Serializable
@SerialName("permits-reclaimed")
internal data class PermitsReclaimedForm(val entry: String) : BodyForm

@Serializable
@SerialName("job-accepted")
internal data class JobAcceptedForm(
    val job: String,
    val team: String,
    val pool: String,
    val service: String,
    val path: String,
    val requestClass: String,
    val idempotent: Boolean,
    val body: String,
    val contentType: String,
) : BodyForm

@Serializable
@SerialName("job-claimed")
internal data class JobClaimedForm(val job: String, val holder: String) : BodyForm

@Serializable
@SerialName("job-checkpoint")
internal data class JobCheckpointForm(val job: String, val holder: String, val checkpoint: String) : BodyForm

@Serializable
@SerialName("job-finished")
internal data class JobFinishedForm(
    val job: String,
    val holder: String,
    val status: Int,
    val body: String,
    val contentType: String,
    val truncated: Boolean = false,
) : BodyForm

@Serializable
@SerialName("job-cancelled")
internal data class JobCancelledForm(val job: String, val team: String, val requestStop: Boolean = false) : BodyForm
