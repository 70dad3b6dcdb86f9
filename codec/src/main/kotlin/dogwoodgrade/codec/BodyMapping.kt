package dogwoodgrade.codec

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlBody.ChangeJob
import dogwoodgrade.control.ControlBody.Configure
import dogwoodgrade.control.ControlBody.EndEntry
import dogwoodgrade.control.ControlBody.JoinEntry
import dogwoodgrade.control.ControlBody.LeaveEntry
import dogwoodgrade.control.ControlBody.ReclaimPermits
import dogwoodgrade.control.ControlBody.ReportPermits
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.jobs.JobRequest
import dogwoodgrade.jobs.JobRequestIdentifier
import dogwoodgrade.jobs.JobResult
import dogwoodgrade.limits.PermitChange
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Maps a [ControlBody] to its JSON form; [bodyOf] is the inverse. */
internal fun formOf(body: ControlBody): BodyForm =
    when (body) {
        is Configure -> formOf(body.change)
        is JoinEntry -> formOf(body.entry)
        is LeaveEntry -> EntryLeftForm(body.entry.toString())
        is EndEntry -> EntryEndedForm(body.entry.toString(), body.evidence)
        is ReportPermits -> formOf(body.report)
        is ReclaimPermits -> PermitsReclaimedForm(body.entry.toString())
        is ChangeJob -> formOf(body.change)
    }

internal fun formOf(entry: JoinedEntry): EntryJoinedForm =
    EntryJoinedForm(
        entry.identity.toString(),
        entry.zone.text,
        entry.peerAddress,
        entry.operatorAddress,
        entry.newestSchemaVersion,
    )

private fun formOf(report: PermitReport): PermitsForm =
    PermitsForm(
        report.entry.toString(),
        report.sequence,
        report.changes.entries.associate { (team, change) ->
            team.text to listOf(change.release, change.take, change.wanted)
        },
    )

private fun formOf(change: ConfigurationChange): BodyForm =
    when (change) {
        is ConfigurationChange.SetTeam ->
            TeamForm(
                change.name.text,
                change.share,
                change.upperLimit,
                change.refuseWhenStaleAfter?.inWholeMilliseconds,
                change.baseVersion.number,
            )
        is ConfigurationChange.GiveKey -> KeyGivenForm(change.team.text, change.digest.hexadecimal)
        is ConfigurationChange.WithdrawKey -> KeyWithdrawnForm(change.team.text, change.digest.hexadecimal)
        is ConfigurationChange.SetPool -> formOf(change)
        is ConfigurationChange.AddInstance ->
            InstanceForm(
                change.name.text,
                change.address,
                change.zone.text,
                change.rack.text,
                change.worker.text,
                change.pool.text,
            )
        is ConfigurationChange.MoveInstance ->
            InstanceMovedForm(change.instance.text, change.from.text, change.to.text)
        is ConfigurationChange.DrainInstance -> InstanceDrainingForm(change.instance.text, change.wave)
        is ConfigurationChange.ReturnInstance ->
            InstanceReturnedForm(change.instance.text, change.wave, change.maintainedAt?.toEpochMilliseconds())
        is ConfigurationChange.RemoveInstance -> InstanceRemovedForm(change.instance.text)
        is ConfigurationChange.ObserveFailure -> InstanceFailedForm(change.instance.text)
        is ConfigurationChange.ObserveRecovery -> InstanceRecoveredForm(change.instance.text)
        is ConfigurationChange.SetZone ->
            if (change.inService) {
                ZoneInForm(change.zone.text, change.baseVersion.number)
            } else {
                ZoneOutForm(change.zone.text, change.baseVersion.number)
            }
        is ConfigurationChange.SetDocument ->
            DocumentForm(change.name.text, change.schemaVersion, change.content, change.baseVersion.number)
    }

private fun formOf(change: ConfigurationChange.SetPool): PoolForm =
    PoolForm(
        change.name.text,
        change.service.text,
        change.slotsPerEndpoint,
        change.connectionsPerEndpoint,
        change.taskLease.inWholeMilliseconds,
        change.availabilityBudget,
        change.urgentReserve,
        change.open,
        change.baseVersion.number,
    )

private fun formOf(change: JobChange): BodyForm =
    when (change) {
        is JobChange.Accept -> formOf(change.request)
        is JobChange.Claim -> JobClaimedForm(change.job.text, change.holder.toString())
        is JobChange.Checkpoint -> JobCheckpointForm(change.job.text, change.holder.toString(), change.checkpoint)
        is JobChange.Finish ->
            JobFinishedForm(
                change.job.text,
                change.holder.toString(),
                change.status,
                change.result.body,
                change.result.contentType,
                change.result.truncated,
            )
        is JobChange.Cancel -> JobCancelledForm(change.job.text, change.team.text, change.requestStop)
        is JobChange.EndEntry -> error("an entry's end is written as a record about the entry")
    }

internal fun formOf(request: JobRequest): JobAcceptedForm =
    JobAcceptedForm(
        request.identifier.text,
        request.team.text,
        request.pool.text,
        request.service.text,
        request.path,
        request.requestClass.text,
        request.idempotent,
        request.body,
        request.contentType,
    )

/** @throws IllegalArgumentException if a field of [form] is not valid */
internal fun bodyOf(form: BodyForm): ControlBody =
    when (form) {
        is EntryJoinedForm -> JoinEntry(entryOf(form))
        is EntryLeftForm -> LeaveEntry(identityOf(form.entry))
        is EntryEndedForm -> EndEntry(identityOf(form.entry), form.evidence)
        is PermitsForm -> ReportPermits(reportOf(form))
        is PermitsReclaimedForm -> ReclaimPermits(identityOf(form.entry))
        is JobAcceptedForm -> ChangeJob(JobChange.Accept(requestOf(form)))
        is JobClaimedForm -> ChangeJob(JobChange.Claim(JobRequestIdentifier(form.job), identityOf(form.holder)))
        is JobCheckpointForm ->
            ChangeJob(JobChange.Checkpoint(JobRequestIdentifier(form.job), identityOf(form.holder), form.checkpoint))
        is JobFinishedForm ->
            ChangeJob(
                JobChange.Finish(
                    JobRequestIdentifier(form.job),
                    identityOf(form.holder),
                    form.status,
                    JobResult(form.body, form.contentType, form.truncated),
                ),
            )
        is JobCancelledForm ->
            ChangeJob(JobChange.Cancel(JobRequestIdentifier(form.job), TeamName(form.team), form.requestStop))
        else -> Configure(changeOf(form))
    }

internal fun identityOf(text: String): EntryIdentity =
    requireNotNull(EntryIdentity.parseOrNull(text)) { "\"$text\" is not an entry identity" }

internal fun entryOf(form: EntryJoinedForm): JoinedEntry =
    JoinedEntry(
        identityOf(form.entry),
        AvailabilityZone(form.zone),
        form.peerAddress,
        form.operatorAddress,
        form.newestSchemaVersion,
    )

private fun reportOf(form: PermitsForm): PermitReport =
    PermitReport(
        identityOf(form.entry),
        form.sequence,
        form.changes.entries.associate { (team, counts) ->
            require(counts.size == 3) { "a permit change has ${counts.size} numbers instead of 3" }
            TeamName(team) to PermitChange(counts[0], counts[1], counts[2])
        },
    )

internal fun requestOf(form: JobAcceptedForm): JobRequest =
    JobRequest(
        JobRequestIdentifier(form.job),
        TeamName(form.team),
        PoolName(form.pool),
        ServiceName(form.service),
        form.path,
        requireNotNull(RequestClass.parseOrNull(form.requestClass)) { "\"${form.requestClass}\" is no request class" },
        form.idempotent,
        form.body,
        form.contentType,
    )

private fun changeOf(form: BodyForm): ConfigurationChange =
    when (form) {
        is TeamForm ->
            ConfigurationChange.SetTeam(
                TeamName(form.name),
                form.share,
                form.upperLimit,
                form.refuseWhenStaleAfterMilliseconds?.milliseconds,
                Version(form.baseVersion),
            )
        is KeyGivenForm -> ConfigurationChange.GiveKey(TeamName(form.team), KeyDigest(form.digest))
        is KeyWithdrawnForm -> ConfigurationChange.WithdrawKey(TeamName(form.team), KeyDigest(form.digest))
        is PoolForm -> poolChangeOf(form)
        is DocumentForm ->
            ConfigurationChange.SetDocument(
                DocumentName(form.name),
                form.schemaVersion,
                form.content,
                Version(form.baseVersion),
            )
        is ZoneOutForm -> ConfigurationChange.SetZone(AvailabilityZone(form.zone), false, Version(form.baseVersion))
        is ZoneInForm -> ConfigurationChange.SetZone(AvailabilityZone(form.zone), true, Version(form.baseVersion))
        else -> instanceChangeOf(form)
    }

private fun poolChangeOf(form: PoolForm): ConfigurationChange.SetPool =
    ConfigurationChange.SetPool(
        PoolName(form.name),
        ServiceName(form.service),
        form.slotsPerEndpoint,
        form.connectionsPerEndpoint,
        form.taskLeaseMilliseconds.milliseconds,
        form.availabilityBudget,
        form.urgentReserve,
        form.open,
        Version(form.baseVersion),
    )

private fun instanceChangeOf(form: BodyForm): ConfigurationChange =
    when (form) {
        is InstanceForm ->
            ConfigurationChange.AddInstance(
                InstanceName(form.name),
                form.address,
                AvailabilityZone(form.zone),
                RackName(form.rack),
                WorkerName(form.worker),
                PoolName(form.pool),
            )
        is InstanceMovedForm ->
            ConfigurationChange.MoveInstance(InstanceName(form.instance), PoolName(form.from), PoolName(form.to))
        is InstanceDrainingForm -> ConfigurationChange.DrainInstance(InstanceName(form.instance), form.wave)
        is InstanceReturnedForm ->
            ConfigurationChange.ReturnInstance(
                InstanceName(form.instance),
                form.wave,
                form.maintainedAtMilliseconds?.let(Instant::fromEpochMilliseconds),
            )
        is InstanceRemovedForm -> ConfigurationChange.RemoveInstance(InstanceName(form.instance))
        is InstanceFailedForm -> ConfigurationChange.ObserveFailure(InstanceName(form.instance))
        is InstanceRecoveredForm -> ConfigurationChange.ObserveRecovery(InstanceName(form.instance))
        else -> throw IllegalArgumentException("unexpected record body ${form::class.simpleName}")
    }
