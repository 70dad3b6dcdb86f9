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
 * Reads and folds the control stream and proposes changes to it. One coroutine uses a session at a time.
 *
 * @property proposer name of the operator, as written in records
 * @param newIdentifier makes the identifier of each proposed record
 */
internal class ControlSession(
    private val log: LogService,
    private val proposer: String,
    private val newIdentifier: () -> RecordIdentifier,
    private val timeout: Duration = ProposalTimeout,
) {
    /** The state as last read. */
    var state: ControlState = ControlState.Empty
        private set

    /** Folds up to the head of the stream, from the newest snapshot if the session is new. */
    suspend fun refresh(): Outcome<ControlState> {
        if (state.offset == Offset.Zero) installSnapshot()?.let { return it }
        while (true) {
            when (val result = log.read(StreamName.Control, state.offset, READ_LIMIT, Duration.ZERO)) {
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

    /** Appends [change], with the same identifier after a lost answer, and folds until its outcome is known. */
    suspend fun propose(change: ConfigurationChange): Outcome<RecordOutcome> {
        val record = ControlRecord(newIdentifier(), schemaVersionOf(change), proposer, ControlBody.Configure(change))
        var mayBeAppended = false
        var last = Failure(ResultCode.LogUnreachable, "nothing was appended")
        val outcome =
            withTimeoutOrNull(timeout) {
                while (state.outcomes[record.identifier] == null) {
                    val result = log.append(StreamName.Control, RecordCodec.encode(record))
                    mayBeAppended = mayBeAppended || result !is AppendResult.Refused
                    if (result is AppendResult.Refused) last = Failure(result.code, result.message)
                    (refresh() as? Failure)?.let { last = it }
                    if (state.outcomes[record.identifier] == null) delay(RetryPause)
                }
                state.outcomes[record.identifier]
            }
        return when {
            outcome != null && outcome.accepted -> Success(outcome)
            outcome != null -> Failure(outcome.code, outcome.message)
            mayBeAppended -> Failure(ResultCode.LogAnswerLost, "the change may still take effect; read the state")
            else -> last
        }
    }

    /** Returns a failure, or `null` if the newest snapshot is installed or there is none. */
    private suspend fun installSnapshot(): Failure? {
        val end =
            when (val head = log.read(StreamName.Snapshots, Offset.Zero, 1, Duration.ZERO)) {
                is ReadResult.Records -> head.end
                is ReadResult.Dropped -> endAfter(head.first)
                is ReadResult.Unreachable -> return Failure(head.code, head.message)
            }
        if (end == null || end == Offset.Zero) return null
        val last = log.read(StreamName.Snapshots, Offset(end.value - 1), 1, Duration.ZERO)
        val data = (last as? ReadResult.Records)?.records?.firstOrNull()?.data
            ?: return Failure(ResultCode.LogUnreachable, "the newest snapshot cannot be read")
        return when (val decoded = SnapshotCodec.decode(data)) {
            is Failure -> decoded
            is Success -> {
                if (decoded.value.offset > state.offset) state = decoded.value
                null
            }
        }
    }

    private suspend fun endAfter(first: Offset): Offset? =
        (log.read(StreamName.Snapshots, first, 1, Duration.ZERO) as? ReadResult.Records)?.end

    private companion object {
        const val READ_LIMIT = 500

        /** Pause before a record is appended again. */
        val RetryPause = 200.milliseconds

        /** Time for which a change is proposed while the log service does not answer. */
        val ProposalTimeout = 10.seconds
    }
}

/** Only the fields that need a newer schema raise the version, so that old entries are not refused for nothing. */
internal fun schemaVersionOf(change: ConfigurationChange): Int =
    if (change is ConfigurationChange.SetTeam && change.refuseWhenStaleAfter != null) 2 else SchemaVersions.OLDEST
