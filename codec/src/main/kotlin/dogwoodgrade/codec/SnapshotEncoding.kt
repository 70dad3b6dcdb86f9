package dogwoodgrade.codec

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.configuration.Pool
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.RecordOutcome
import dogwoodgrade.jobs.EndedJob
import dogwoodgrade.jobs.JobEnding
import dogwoodgrade.jobs.JobLedger
import dogwoodgrade.jobs.UnfinishedJob
import dogwoodgrade.limits.PermitLedger

/** Maps the folded state to its JSON form. Lists and maps are sorted, so that equal states have equal text. */
internal fun snapshotFormOf(state: ControlState): SnapshotForm {
    val configuration = state.configuration
    return SnapshotForm(
        formatVersion = SnapshotCodec.FORMAT_VERSION,
        offset = state.offset.value,
        longestTaskLeaseMilliseconds = state.longestTaskLease.inWholeMilliseconds,
        newestSchemaVersion = state.newestSchemaVersion,
        teams = teamsOf(configuration),
        keys = configuration.keys.entries
            .associate { (digest, team) -> digest.hexadecimal to team.text }
            .toSortedMap(),
        pools = configuration.pools.values
            .sortedBy(Pool::name)
            .map(::formOf),
        instances = configuration.instances.values
            .sortedBy(Instance::name)
            .map(::formOf),
        zones =
            configuration.zones.values.sortedBy { it.name }.map {
                ZoneStateForm(it.name.text, it.inService, it.version.number)
            },
        documents = documentsOf(configuration),
        entries = state.entries.values
            .sortedBy { it.identity }
            .map(::formOf),
        permits = formOf(state.permits),
        jobs = formOf(state.jobs),
        olderOutcomes = formsOf(state.outcomes.older.values),
        newerOutcomes = formsOf(state.outcomes.newer.values),
    )
}

private fun formsOf(outcomes: Collection<RecordOutcome>): List<OutcomeForm> =
    outcomes.sortedBy(RecordOutcome::offset).map {
        OutcomeForm(it.identifier.text, it.offset.value, it.code.number, it.message)
    }

private fun teamsOf(configuration: ConfigurationState): List<TeamStateForm> =
    configuration.teams.values.sortedBy { it.name }.map {
        TeamStateForm(
            it.name.text,
            it.share,
            it.upperLimit,
            it.refuseWhenStaleAfter?.inWholeMilliseconds,
            it.version.number,
        )
    }

private fun documentsOf(configuration: ConfigurationState): List<DocumentStateForm> =
    configuration.documents.values
        .sortedWith(compareBy({ it.key.name }, { it.key.schemaVersion }))
        .map { DocumentStateForm(it.key.name.text, it.key.schemaVersion, it.content, it.version.number) }

private fun formOf(pool: Pool): PoolStateForm =
    PoolStateForm(
        pool.name.text,
        pool.service.text,
        pool.slotsPerEndpoint,
        pool.connectionsPerEndpoint,
        pool.taskLease.inWholeMilliseconds,
        pool.availabilityBudget,
        pool.urgentReserve,
        pool.open,
        pool.version.number,
    )

private fun formOf(instance: Instance): InstanceStateForm =
    InstanceStateForm(
        instance.name.text,
        instance.address,
        instance.zone.text,
        instance.rack.text,
        instance.worker.text,
        instance.pool.text,
        instance.wave,
        instance.failed,
        instance.maintainedAt?.toEpochMilliseconds(),
    )

private fun formOf(ledger: PermitLedger): PermitsStateForm =
    PermitsStateForm(
        teams =
            ledger.teams.entries.sortedBy { it.key }.map { (team, permits) ->
                TeamPermitsForm(
                    team.text,
                    permits.limit,
                    permits.free,
                    permits.held.entries
                        .associate { (entry, held) -> entry.toString() to listOf(held.count, held.wanted) }
                        .toSortedMap(),
                    permits.quarantined.mapKeys { it.key.toString() }.toSortedMap(),
                    permits.removed,
                )
            },
        sequences = ledger.reportSequences.mapKeys { it.key.toString() }.toSortedMap(),
        incarnations = ledger.newestIncarnations.mapKeys { it.key.text }.toSortedMap(),
    )

private fun formOf(ledger: JobLedger): JobsStateForm =
    JobsStateForm(
        ledger.nextSequence,
        ledger.unfinished.values
            .sortedBy(UnfinishedJob::sequence)
            .map(::formOf),
        ledger.ended.values
            .sortedBy(EndedJob::sequence)
            .map(::formOf),
    )

private fun formOf(job: UnfinishedJob): JobForm =
    JobForm(
        formOf(job.request),
        job.sequence,
        job.claim?.holder?.toString(),
        job.claim?.stopRequested ?: false,
        job.claims,
        job.checkpoint,
    )

private fun formOf(job: EndedJob): EndedJobForm {
    val form = EndedJobForm(job.identifier.text, job.team.text, job.sequence)
    return when (val ending = job.ending) {
        is JobEnding.Finished ->
            form.copy(
                status = ending.status,
                body = ending.result.body,
                contentType = ending.result.contentType,
                truncated = ending.result.truncated,
            )
        is JobEnding.OutcomeUnknown -> form.copy(unknownHolder = ending.holder.toString())
        JobEnding.Cancelled -> form
    }
}
