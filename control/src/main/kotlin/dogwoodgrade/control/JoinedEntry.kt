package dogwoodgrade.control

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity

/**
 * A running entry process, as described by its join record.
 *
 * @property peerAddress address of its gRPC listener, as `host:port`; the process keeps it open for as long as it may
 * have tasks running, so a refused connection there is evidence that it has ended
 * @property operatorAddress address for operators, as `host:port`
 * @property newestSchemaVersion newest schema version of records that the process can fold
 */
public data class JoinedEntry(
    public val identity: EntryIdentity,
    public val zone: AvailabilityZone,
    public val peerAddress: String,
    public val operatorAddress: String,
    public val newestSchemaVersion: Int,
)
