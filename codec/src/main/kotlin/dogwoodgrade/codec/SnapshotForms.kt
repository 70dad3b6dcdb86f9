package dogwoodgrade.codec

import kotlinx.serialization.Serializable

/** The JSON form of a snapshot: the folded state at [offset]. */
@Serializable
internal data class SnapshotForm(
    val formatVersion: Int,
    val offset: Long,
    val longestTaskLeaseMilliseconds: Long,
    val newestSchemaVersion: Int,
    val teams: List<TeamStateForm>,
    val keys: Map<String, String>,
    val pools: List<PoolStateForm>,
    val instances: List<InstanceStateForm>,
    val zones: List<ZoneStateForm>,
    val documents: List<DocumentStateForm>,
    val entries: List<EntryJoinedForm>,
    val permits: PermitsStateForm,
    val jobs: JobsStateForm,
    val olderOutcomes: List<OutcomeForm>,
    val newerOutcomes: List<OutcomeForm>,
)

@Serializable
internal data class TeamStateForm(
    val name: String,
    val share: Int,
    val upperLimit: Int,
    val refuseWhenStaleAfterMilliseconds: Long? = null,
    val version: Long,
)

@Serializable
internal data class PoolStateForm(
    val name: String,
    val service: String,
    val slotsPerEndpoint: Int,
    val connectionsPerEndpoint: Int,
    val taskLeaseMilliseconds: Long,
    val availabilityBudget: Int,
    val urgentReserve: Int,
    val open: Boolean = false,
    val version: Long,
)

@Serializable
internal data class InstanceStateForm(
    val name: String,
    val address: String,
    val zone: String,
    val rack: String,
    val worker: String,
    val pool: String,
    val wave: String? = null,
    val failed: Boolean = false,
    val maintainedAtMilliseconds: Long? = null,
)

@Serializable
internal data class ZoneStateForm(val name: String, val inService: Boolean, val version: Long)

@Serializable
internal data class DocumentStateForm(
    val name: String,
    val schemaVersion: Int,
    val content: String,
    val version: Long,
)

@Serializable
internal data class PermitsStateForm(
    val teams: List<TeamPermitsForm>,
    val sequences: Map<String, Long>,
    val incarnations: Map<String, Long>,
)

/** [held] maps an entry to the number of its permits and its demand, in this order. */
@Serializable
internal data class TeamPermitsForm(
    val team: String,
    val limit: Int,
    val free: Int,
    val held: Map<String, List<Int>> = emptyMap(),
    val quarantined: Map<String, Int> = emptyMap(),
    val removed: Boolean = false,
)

@Serializable
internal data class JobsStateForm(
    val nextSequence: Long,
    val unfinished: List<JobForm>,
    val ended: List<EndedJobForm>,
)

@Serializable
internal data class JobForm(
    val request: JobAcceptedForm,
    val sequence: Long,
    val holder: String? = null,
    val stopRequested: Boolean = false,
    val claims: Int = 0,
    val checkpoint: String? = null,
)

/** Exactly one of [status] (finished), [unknownHolder] (outcome unknown) or neither (cancelled) is set. */
@Serializable
internal data class EndedJobForm(
    val job: String,
    val team: String,
    val sequence: Long,
    val status: Int? = null,
    val body: String = "",
    val contentType: String = "",
    val truncated: Boolean = false,
    val unknownHolder: String? = null,
)

@Serializable
internal data class OutcomeForm(
    val identifier: String,
    val offset: Long,
    val code: Int,
    val message: String,
)
