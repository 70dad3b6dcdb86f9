package dogwoodgrade.control

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.RecordIdentifier

/**
 * A record of the control stream.
 *
 * @property identifier identifies the proposal; a record that is appended again keeps it
 * @property schemaVersion version of the schema that the body is written in, see [SchemaVersions]
 * @property proposer who proposes the record, for people: an operator's name or an entry identity
 */
public data class ControlRecord(
    public val identifier: RecordIdentifier,
    public val schemaVersion: Int,
    public val proposer: String,
    public val body: ControlBody,
)

/** What a record proposes. */
public sealed interface ControlBody {
    /** A change of the operators' state. */
    public data class Configure(public val change: ConfigurationChange) : ControlBody

    /** An entry process has started. */
    public data class JoinEntry(public val entry: JoinedEntry) : ControlBody

    /** An entry process has finished all its work and stops. */
    public data class LeaveEntry(public val entry: EntryIdentity) : ControlBody

    /** An entry process was found to have ended, on the evidence that the proposer names. */
    public data class EndEntry(
        public val entry: EntryIdentity,
        public val evidence: String,
    ) : ControlBody

    /** An entry releases and takes permits. */
    public data class ReportPermits(public val report: PermitReport) : ControlBody

    /** The quarantine of an ended entry's permits is over. */
    public data class ReclaimPermits(public val entry: EntryIdentity) : ControlBody

    /** A change of the job ledger. */
    public data class ChangeJob(public val change: JobChange) : ControlBody
}
