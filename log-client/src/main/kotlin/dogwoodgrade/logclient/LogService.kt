package dogwoodgrade.logclient

import dogwoodgrade.model.Offset
import dogwoodgrade.model.ResultCode
import kotlin.time.Duration

/**
 * Interface to the platform's append-only log service.
 *
 * Neither function throws when the service fails; the result says what is known. [httpLogService] implements the
 * published HTTP protocol; tests pass lambdas.
 *
 * @property append appends a record to a stream
 * @property read reads up to `limit` records of a stream from an offset on; waits up to `wait` if there is none yet
 */
public data class LogService(
    public val append: suspend (stream: StreamName, record: ByteArray) -> AppendResult,
    public val read: suspend (stream: StreamName, from: Offset, limit: Int, wait: Duration) -> ReadResult,
)

/** Streams of the log service. */
public enum class StreamName(public val text: String) {
    /** The operators' configuration and the records that entries write, in one total order. */
    Control("control"),

    /** Snapshots of the folded control stream. */
    Snapshots("snapshots"),
}

/** Result of an append. */
public sealed interface AppendResult {
    /** The record was appended at [offset]. */
    public data class Appended(public val offset: Offset) : AppendResult

    /** The record was not appended. */
    public data class Refused(public val code: ResultCode, public val message: String) : AppendResult

    /** The record may have been appended; append it again with the same record identifier. */
    public data class Unknown(public val code: ResultCode, public val message: String) : AppendResult
}

/** A record with its offset in the stream. */
public class StoredRecord(public val offset: Offset, public val data: ByteArray) {
    override fun toString(): String = "StoredRecord(offset=$offset, ${data.size} bytes)"
}

/** Result of a read. */
public sealed interface ReadResult {
    /** The [records] from the requested offset on, possibly none; [end] is the offset that the next append will get. */
    public data class Records(
        public val records: List<StoredRecord>,
        public val end: Offset,
    ) : ReadResult

    /** Retention has removed the requested records; [first] is the offset of the oldest record that is kept. */
    public data class Dropped(public val first: Offset) : ReadResult

    /** The service did not answer, or its answer does not follow the protocol. */
    public data class Unreachable(public val code: ResultCode, public val message: String) : ReadResult
}
