package dogwoodgrade.codec

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Document
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.configuration.Instance
import dogwoodgrade.configuration.Pool
import dogwoodgrade.configuration.Team
import dogwoodgrade.configuration.Zone
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.RecordOutcome
import dogwoodgrade.control.RecordOutcomes
import dogwoodgrade.jobs.EndedJob
import dogwoodgrade.jobs.JobClaim
import dogwoodgrade.jobs.JobEnding
import dogwoodgrade.jobs.JobLedger
import dogwoodgrade.jobs.JobRequestIdentifier
import dogwoodgrade.jobs.JobResult
import dogwoodgrade.jobs.UnfinishedJob
import dogwoodgrade.limits.HeldPermits
import dogwoodgrade.limits.PermitLedger
import dogwoodgrade.limits.TeamPermits
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Offset
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlinx.collections.immutable.toPersistentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Returns the state in [form].
 *
 * @throws IllegalArgumentException if a field of [form] is not valid
 */
internal fun stateOf(form: SnapshotForm): ControlState {
    require(form.formatVersion == SnapshotCodec.FORMAT_VERSION) { "format version ${form.formatVersion} is not known" }
    return ControlState(
        offset = Offset(form.offset),
        configuration = configurationOf(form),
        permits = ledgerOf(form.permits),
        jobs = ledgerOf(form.jobs),
        entries = form.entries.map(::entryOf).associateBy { it.identity.name },
        outcomes = outcomesOf(form),
        longestTaskLease = form.longestTaskLeaseMilliseconds.milliseconds,
        newestSchemaVersion = form.newestSchemaVersion,
    )
}

private fun configurationOf(form: SnapshotForm): ConfigurationState =
    ConfigurationState(
        teams = form.teams.map(::teamOf).associateBy(Team::name),
        keys = form.keys.entries.associate { (digest, team) -> KeyDigest(digest) to TeamName(team) },
        pools = form.pools.map(::poolOf).associateBy(Pool::name),
        instances = form.instances.map(::instanceOf).associateBy(Instance::name),
        zones =
            form.zones
                .map { Zone(AvailabilityZone(it.name), it.inService, Version(it.version)) }
                .associateBy(Zone::name),
        documents =
            form.documents
                .map {
                    val key = DocumentKey(DocumentName(it.name), it.schemaVersion)
                    Document(key, it.content, Version(it.version))
                }.associateBy(Document::key),
    )

private fun teamOf(form: TeamStateForm): Team =
    Team(
        TeamName(form.name),
        form.share,
        form.upperLimit,
        form.refuseWhenStaleAfterMilliseconds?.milliseconds,
        Version(form.version),
    )

private fun poolOf(form: PoolStateForm): Pool =
    Pool(
        PoolName(form.name),
        ServiceName(form.service),
        form.slotsPerEndpoint,
        form.connectionsPerEndpoint,
        form.taskLeaseMilliseconds.milliseconds,
        form.availabilityBudget,
        form.urgentReserve,
        form.open,
        Version(form.version),
    )

private fun instanceOf(form: InstanceStateForm): Instance =
    Instance(
        InstanceName(form.name),
        form.address,
        AvailabilityZone(form.zone),
        RackName(form.rack),
        WorkerName(form.worker),
        PoolName(form.pool),
        form.wave,
        form.failed,
        form.maintainedAtMilliseconds?.let(Instant::fromEpochMilliseconds),
    )

private fun ledgerOf(form: PermitsStateForm): PermitLedger =
    PermitLedger(
        teams = form.teams.associate { TeamName(it.team) to permitsOf(it) },
        reportSequences = form.sequences.mapKeys { identityOf(it.key) },
        newestIncarnations = form.incarnations.mapKeys { EntryName(it.key) },
    )

private fun permitsOf(form: TeamPermitsForm): TeamPermits =
    TeamPermits(
        form.limit,
        form.free,
        form.held.entries.associate { (entry, counts) ->
            require(counts.size == 2) { "held permits have ${counts.size} numbers instead of 2" }
            identityOf(entry) to HeldPermits(counts[0], counts[1])
        },
        form.quarantined.mapKeys { identityOf(it.key) },
        form.removed,
    )

private fun ledgerOf(form: JobsStateForm): JobLedger {
    val unfinished = form.unfinished.map(::jobOf)
    return JobLedger(
        unfinished = unfinished.associateBy { it.request.identifier },
        ended = form.ended.map(::endedOf).associateBy(EndedJob::identifier),
        unfinishedByTeam = unfinished.groupingBy { it.request.team }.eachCount(),
        bodyCharacters = unfinished.sumOf { it.request.body.length },
        nextSequence = form.nextSequence,
    )
}

private fun jobOf(form: JobForm): UnfinishedJob =
    UnfinishedJob(
        requestOf(form.request),
        form.sequence,
        form.holder?.let { JobClaim(identityOf(it), form.stopRequested) },
        form.claims,
        form.checkpoint,
    )

private fun endedOf(form: EndedJobForm): EndedJob {
    val ending =
        when {
            form.status != null ->
                JobEnding.Finished(form.status, JobResult(form.body, form.contentType, form.truncated))
            form.unknownHolder != null -> JobEnding.OutcomeUnknown(identityOf(form.unknownHolder))
            else -> JobEnding.Cancelled
        }
    return EndedJob(JobRequestIdentifier(form.job), TeamName(form.team), form.sequence, ending)
}

/**
 * Restores the older and newer outcomes separately: a process that starts from a snapshot must forget the same outcomes
 * as the other processes.
 */
private fun outcomesOf(form: SnapshotForm): RecordOutcomes =
    RecordOutcomes(
        form.olderOutcomes.map(::outcomeOf).associateBy(RecordOutcome::identifier),
        form.newerOutcomes
            .map(::outcomeOf)
            .associateBy(RecordOutcome::identifier)
            .toPersistentHashMap(),
    )

private fun outcomeOf(form: OutcomeForm): RecordOutcome {
    val code = requireNotNull(ResultCode.ofNumberOrNull(form.code)) { "result code ${form.code} is not known" }
    return RecordOutcome(RecordIdentifier(form.identifier), Offset(form.offset), code, form.message)
}
