package dogwoodgrade.control

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.apply
import dogwoodgrade.control.ControlBody.ChangeJob
import dogwoodgrade.control.ControlBody.Configure
import dogwoodgrade.control.ControlBody.EndEntry
import dogwoodgrade.control.ControlBody.JoinEntry
import dogwoodgrade.control.ControlBody.LeaveEntry
import dogwoodgrade.control.ControlBody.ReclaimPermits
import dogwoodgrade.control.ControlBody.ReportPermits
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.jobs.apply
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.map

/**
 * A record as decoded from the log.
 *
 * @property identifier identifier of the record, or `null` if not even that can be decoded
 * @property schemaVersion schema version of the record
 * @property record the decoded record, or the reason why its body cannot be decoded
 */
public data class DecodedRecord(
    public val identifier: RecordIdentifier?,
    public val schemaVersion: Int,
    public val record: Outcome<ControlRecord>,
)

/**
 * Folds the record at [offset] into this state.
 *
 * Every record advances the offset by one. A refused record adds at most its outcome; a copy of an earlier record, or
 * one without a readable identifier, changes nothing else. A record below the state's offset was folded before and is
 * ignored, so a late or repeated delivery never restores older values.
 *
 * @throws IllegalArgumentException if [offset] is above the state's offset, which means that records are missing
 */
public fun ControlState.fold(offset: Offset, decoded: DecodedRecord): ControlState {
    if (offset < this.offset) return this
    require(offset == this.offset) { "record at offset $offset does not follow the state at offset ${this.offset}" }
    val advanced = copy(offset = offset.next)
    val identifier = decoded.identifier ?: return advanced
    if (outcomes[identifier] != null) return advanced
    val applied = advanced.checkSchemaVersion(decoded).flatMap { record -> advanced.applyBody(record.body) }
    val (next, code, message) =
        when (applied) {
            is Success -> Triple(applied.value, ResultCode.Accepted, "accepted")
            is Failure -> Triple(advanced, applied.code, applied.message)
        }
    val schemaVersion = if (applied is Success) {
        maxOf(
            newestSchemaVersion,
            decoded.schemaVersion,
        )
    } else {
        newestSchemaVersion
    }
    val outcome = RecordOutcome(identifier, offset, code, message)
    return next.copy(
        outcomes = if (decoded.isPermitReport) outcomes else outcomes + outcome,
        newestSchemaVersion = schemaVersion,
    )
}

/** Permit reports have their own sequence numbers; their outcomes would displace those of operators' records. */
private val DecodedRecord.isPermitReport: Boolean
    get() = (record as? Success)?.value?.body is ReportPermits

/**
 * Refuses a schema version that some running entry cannot fold. The decision does not depend on the body, which an old
 * entry may be unable to decode, so the states of old and new entries never diverge.
 */
private fun ControlState.checkSchemaVersion(decoded: DecodedRecord): Outcome<ControlRecord> =
    if (decoded.schemaVersion > maxOf(supportedSchemaVersion, newestSchemaVersion)) {
        Failure(
            ResultCode.UnsupportedSchemaVersion,
            "schema version ${decoded.schemaVersion} is above $supportedSchemaVersion, the newest every entry supports",
        )
    } else {
        decoded.record
    }

private fun ControlState.applyBody(body: ControlBody): Outcome<ControlState> =
    when (body) {
        is Configure -> configure(body.change)
        is JoinEntry -> join(body.entry)
        is LeaveEntry -> permits.leave(body.entry).map { copy(permits = it).withoutEntry(body.entry) }
        is EndEntry -> permits.end(body.entry).map { copy(permits = it).withoutEntry(body.entry) }
        is ReportPermits -> permits.applyReport(body.report).map { copy(permits = it) }
        is ReclaimPermits -> permits.reclaim(body.entry).map { copy(permits = it) }
        is ChangeJob -> changeJob(body.change)
    }

private fun ControlState.configure(change: ConfigurationChange): Outcome<ControlState> =
    configuration.apply(change).flatMap { next ->
        val changed = copy(configuration = next)
        when (change) {
            is ConfigurationChange.SetTeam ->
                permits.setLimit(change.name, change.upperLimit).map { changed.copy(permits = it) }
            is ConfigurationChange.SetPool ->
                Success(changed.copy(longestTaskLease = maxOf(longestTaskLease, change.taskLease)))
            else -> Success(changed)
        }
    }

private fun ControlState.join(entry: JoinedEntry): Outcome<ControlState> {
    val running = entries[entry.identity.name]
    return when {
        entry.newestSchemaVersion < newestSchemaVersion ->
            Failure(
                ResultCode.UnsupportedSchemaVersion,
                "entry ${entry.identity} cannot fold schema version $newestSchemaVersion, which is in use",
            )
        running != null && running.identity != entry.identity && running.peerAddress != entry.peerAddress ->
            Failure(ResultCode.AlreadyExists, "entry ${running.identity} runs at ${running.peerAddress}")
        else -> replaced(running).flatMap { it.joined(entry) }
    }
}

/** Ends the [running] process: a new one listens on its address, which is evidence that it has ended. */
private fun ControlState.replaced(running: JoinedEntry?): Outcome<ControlState> =
    if (running == null) Success(this) else applyBody(EndEntry(running.identity, "replaced on the same address"))

private fun ControlState.joined(entry: JoinedEntry): Outcome<ControlState> =
    permits.join(entry.identity).map {
        copy(permits = it, entries = entries + (entry.identity.name to entry))
    }

private fun ControlState.withoutEntry(entry: EntryIdentity): ControlState {
    val remaining = if (isJoined(entry)) entries - entry.name else entries
    val freed = jobs.apply(JobChange.EndEntry(entry))
    return copy(entries = remaining, jobs = (freed as? Success)?.value ?: jobs)
}

private fun ControlState.changeJob(change: JobChange): Outcome<ControlState> {
    val holder =
        when (change) {
            is JobChange.Claim -> change.holder
            is JobChange.Checkpoint -> change.holder
            is JobChange.Finish -> change.holder
            is JobChange.EndEntry -> return Failure(ResultCode.MalformedRecord, "a job record cannot end an entry")
            is JobChange.Accept, is JobChange.Cancel -> null
        }
    if (holder != null && !isJoined(holder)) return Failure(ResultCode.EntryEnded, "entry $holder is not running")
    return jobs.apply(change).map { copy(jobs = it) }
}
