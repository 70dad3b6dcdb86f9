package dogwoodgrade.entry

import dogwoodgrade.codec.RecordCodec
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlRecord
import dogwoodgrade.control.ControlTable
import dogwoodgrade.control.RecordOutcome
import dogwoodgrade.control.SchemaVersions
import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Appends records of this entry to the control stream and waits until their outcomes are folded.
 *
 * @param awaitFold suspends until the folded state has advanced
 */
internal class Proposer(
    private val identity: EntryIdentity,
    private val log: LogService,
    private val table: ControlTable,
    private val awaitFold: suspend () -> Unit,
) {
    /** Appends [body] once and returns what is known about the append. */
    suspend fun append(body: ControlBody): AppendResult = append(recordOf(body))

    /**
     * Appends [body] until its outcome is folded or [timeout] has passed, and repeats the append after a lost answer.
     * After a timeout the code is `LogAnswerLost` if the record may still take effect, else that of the refused append.
     */
    suspend fun propose(body: ControlBody, timeout: Duration): Outcome<RecordOutcome> {
        val record = recordOf(body)
        var last: AppendResult = AppendResult.Refused(ResultCode.LogUnreachable, "nothing was appended")
        var mayBeAppended = false
        val outcome =
            withTimeoutOrNull(timeout) {
                while (table.state.outcomes[record.identifier] == null) {
                    last = append(record)
                    mayBeAppended = mayBeAppended || last !is AppendResult.Refused
                    if (mayBeAppended) awaitOutcome(record.identifier) else delay(RETRY_DELAY)
                }
                table.state.outcomes[record.identifier]
            }
        return when {
            outcome != null && outcome.accepted -> Outcome.Success(outcome)
            outcome != null -> Outcome.Failure(outcome.code, outcome.message)
            mayBeAppended -> Outcome.Failure(ResultCode.LogAnswerLost, "the record may still take effect")
            else -> failureOf(last)
        }
    }

    private suspend fun awaitOutcome(identifier: RecordIdentifier) {
        withTimeoutOrNull(OUTCOME_TIMEOUT) { while (table.state.outcomes[identifier] == null) awaitFold() }
    }

    private suspend fun append(record: ControlRecord): AppendResult =
        log.append(StreamName.Control, RecordCodec.encode(record))

    private fun recordOf(body: ControlBody): ControlRecord =
        ControlRecord(RecordIdentifier(UUID.randomUUID().toString()), SchemaVersions.OLDEST, identity.toString(), body)

    private fun failureOf(result: AppendResult): Outcome.Failure =
        when (result) {
            is AppendResult.Refused -> Outcome.Failure(result.code, result.message)
            is AppendResult.Unknown -> Outcome.Failure(result.code, result.message)
            is AppendResult.Appended -> Outcome.Failure(ResultCode.LogAnswerLost, "the record was not folded in time")
        }

    private companion object {
        /** Delay before the next append after a refused one. */
        val RETRY_DELAY = 200.milliseconds

        /** Time to wait for the outcome of a record before it is appended again. */
        val OUTCOME_TIMEOUT = 1_000.milliseconds
    }
}
