package dogwoodgrade.operator

import dogwoodgrade.codec.RecordCodec
import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlRecord
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.RecordOutcome
import dogwoodgrade.control.SchemaVersions
import dogwoodgrade.control.fold
import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.ReadResult
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads and folds the control stream and proposes changes to it. Not safe for use by several coroutines at once.
 *
 * @property proposer name of the operator, stored in each proposed record
 * @param newIdentifier generates the identifier of each proposed record
 * @param timeout how long [propose] retries a change while the log service does not answer
 */
internal class ControlSession(
    private val log: LogService,
    private val proposer: String,
    private val newIdentifier: () -> RecordIdentifier,
    private val timeout: Duration = PROPOSAL_TIMEOUT,
) {
    /** The control state as of the last read of the control stream. */
    var state: ControlState = ControlState.Empty
        private set

    /** Folds the control stream up to its end, starting at the newest snapshot if the session is new. */
    suspend fun refresh(): Outcome<ControlState> {
        if (state.offset == Offset.Zero) installSnapshot()?.let { return it }
        while (true) {
            when (val result = log.read(StreamName.Control, state.offset, MAX_RECORDS_PER_READ, Duration.ZERO)) {
                is ReadResult.Unreachable -> return Failure(result.code, result.message)
                is ReadResult.Dropped -> {
                    val before = state.offset
                    installSnapshot()?.let { return it }
                    if (state.offset <= before) {
                        return Failure(ResultCode.RecordsDropped, "records from offset $before on were dropped")
                    }
                }
                is ReadResult.Records -> {
                    for (record in result.records) state = state.fold(record.offset, RecordCodec.decode(record.data))
                    if (state.offset >= result.end) return Success(state)
                }
            }
        }
    }

    /**
     * Appends [change] and folds the control stream until the outcome of the change is known. Retries use the same
     * record identifier, so a change whose append succeeded although its answer was lost takes effect once.
     */
    suspend fun propose(change: ConfigurationChange): Outcome<RecordOutcome> {
        val record = ControlRecord(newIdentifier(), schemaVersionOf(change), proposer, ControlBody.Configure(change))
        var mayBeAppended = false
        var lastFailure = Failure(ResultCode.LogUnreachable, "nothing was appended")
        val outcome =
            withTimeoutOrNull(timeout) {
                while (state.outcomes[record.identifier] == null) {
                    val result = log.append(StreamName.Control, RecordCodec.encode(record))
                    mayBeAppended = mayBeAppended || result !is AppendResult.Refused
                    if (result is AppendResult.Refused) lastFailure = Failure(result.code, result.message)
                    (refresh() as? Failure)?.let { lastFailure = it }
                    if (state.outcomes[record.identifier] == null) delay(RETRY_PAUSE)
                }
                state.outcomes[record.identifier]
            }
        return when {
            outcome != null && outcome.accepted -> Success(outcome)
            outcome != null -> Failure(outcome.code, outcome.message)
            mayBeAppended -> Failure(ResultCode.LogAnswerLost, "the change may still take effect; read the state")
            else -> lastFailure
        }
    }

    /** Installs the newest snapshot if there is one that is newer than the state; returns the failure, if any. */
    private suspend fun installSnapshot(): Failure? {
        val end =
            when (val head = log.read(StreamName.Snapshots, Offset.Zero, 1, Duration.ZERO)) {
                is ReadResult.Records -> head.end
                is ReadResult.Dropped -> readSnapshotsEnd(head.first)
                is ReadResult.Unreachable -> return Failure(head.code, head.message)
            }
        if (end == null || end == Offset.Zero) return null
        val newest = log.read(StreamName.Snapshots, Offset(end.value - 1), 1, Duration.ZERO)
        val data = (newest as? ReadResult.Records)?.records?.firstOrNull()?.data
            ?: return Failure(ResultCode.LogUnreachable, "the newest snapshot cannot be read")
        return when (val decoded = SnapshotCodec.decode(data)) {
            is Failure -> decoded
            is Success -> {
                if (decoded.value.offset > state.offset) state = decoded.value
                null
            }
        }
    }

    private suspend fun readSnapshotsEnd(first: Offset): Offset? =
        (log.read(StreamName.Snapshots, first, 1, Duration.ZERO) as? ReadResult.Records)?.end

    private companion object {
        const val MAX_RECORDS_PER_READ = 500

        /** Pause before a record is appended again. */
        val RETRY_PAUSE = 200.milliseconds

        /** Total time for which a change is retried while the log service does not answer. */
        val PROPOSAL_TIMEOUT = 10.seconds
    }
}

/**
 * Returns the oldest schema version that has all fields of [change]. A newer version than necessary would keep entries
 * of older builds from joining for no reason.
 */
internal fun schemaVersionOf(change: ConfigurationChange): Int =
    if (change is ConfigurationChange.SetTeam && change.refuseWhenStaleAfter != null) 2 else SchemaVersions.OLDEST
