package dogwoodgrade.peer

import dogwoodgrade.membership.LogContact
import dogwoodgrade.model.Offset

/**
 * Requests log records from [from] on: at most [maximumRecords] of them and [maximumBytes] in total. The first record
 * is returned regardless of its size, so that the requester always makes progress.
 */
public data class FetchRequest(
    public val from: Offset,
    public val maximumRecords: Int,
    public val maximumBytes: Int,
)

/** Configuration from a peer, with the peer's own [contact] to the log service at the time of its answer. */
public data class FetchAnswer(
    public val content: FetchContent,
    public val contact: LogContact,
)

/** Records or, if the peer no longer keeps them, a snapshot. */
public sealed interface FetchContent {
    /** Encoded records from the requested offset on, without gaps; empty if the peer has none. */
    public data class Records(public val records: List<ByteArray>) : FetchContent

    /** Encoded [state] into which every record below [offset] is folded. */
    public class Snapshot(public val offset: Offset, public val state: ByteArray) : FetchContent
}

/** Returns the longest prefix of [records] within the bounds of this request. */
public fun FetchRequest.boundedPrefix(records: List<ByteArray>): List<ByteArray> {
    var bytes = 0L
    return records
        .take(maximumRecords)
        .withIndex()
        .takeWhile { (index, record) ->
            bytes += record.size
            index == 0 || bytes <= maximumBytes
        }.map { it.value }
}
