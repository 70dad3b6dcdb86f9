package dogwoodgrade.control

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.RecordIdentifier

/**
 * A record of the control stream.
 *
 * @property identifier identifier of the proposal; a record that is appended again keeps it
 * @property schemaVersion version of the schema that the body is written in, see [SchemaVersions]
 * @property proposer name of the operator or identity of the entry that proposes the record, for human readers
 */
public data class ControlRecord(
    public val identifier: RecordIdentifier,
    public val schemaVersion: Int,
    public val proposer: String,
    public val body: ControlBody,
)

/** Change that a record proposes. */
public sealed interface ControlBody {
    /** A change of the configuration by an operator. */
    public data class Configure(public val change: ConfigurationChange) : ControlBody

    /** An entry process has started. */
    public data class JoinEntry(public val entry: JoinedEntry) : ControlBody

    /** An entry process has finished all its work and stops. */
    public data class LeaveEntry(public val entry: EntryIdentity) : ControlBody

    /** An entry process has ended without leaving, according to the proposer's [evidence]. */
    public data class EndEntry(
        public val entry: EntryIdentity,
        public val evidence: String,
    ) : ControlBody

    /** An entry releases and acquires permits. */
    public data class ReportPermits(public val report: PermitReport) : ControlBody

    /** The quarantine of an ended entry's permits is over. */
    public data class ReclaimPermits(public val entry: EntryIdentity) : ControlBody

    /** A change of the job ledger. */
    public data class ChangeJob(public val change: JobChange) : ControlBody
}
