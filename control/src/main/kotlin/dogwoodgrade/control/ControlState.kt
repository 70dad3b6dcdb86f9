package dogwoodgrade.control

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.jobs.JobLedger
import dogwoodgrade.limits.PermitLedger
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Offset
import kotlin.time.Duration

/**
 * The replicated state of the fleet: a pure function of the control stream below [offset].
 *
 * @property offset offset of the next record to fold
 * @property entries running entry processes
 * @property longestTaskLease longest task lease that any pool ever had; it bounds how long permits stay quarantined
 * @property newestSchemaVersion newest schema version of an accepted record
 */
public data class ControlState(
    public val offset: Offset,
    public val configuration: ConfigurationState,
    public val permits: PermitLedger,
    public val jobs: JobLedger,
    public val entries: Map<EntryName, JoinedEntry>,
    public val outcomes: RecordOutcomes,
    public val longestTaskLease: Duration,
    public val newestSchemaVersion: Int,
) {
    /** Newest schema version that every running entry can fold. */
    public val supportedSchemaVersion: Int
        get() = entries.values.minOfOrNull(JoinedEntry::newestSchemaVersion) ?: SchemaVersions.OLDEST

    /** Returns whether [entry] has joined and has neither left nor ended. */
    public fun isJoined(entry: EntryIdentity): Boolean = entries[entry.name]?.identity == entry

    public companion object {
        /** The state before the first record. */
        public val Empty: ControlState =
            ControlState(
                Offset.Zero,
                ConfigurationState.Empty,
                PermitLedger(),
                JobLedger.Empty,
                emptyMap(),
                RecordOutcomes.Empty,
                Duration.ZERO,
                SchemaVersions.OLDEST,
            )
    }
}
