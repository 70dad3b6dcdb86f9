package dogwoodgrade.control

import dogwoodgrade.model.Offset
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A record of the control stream as it is in the log. */
public class RawRecord(public val offset: Offset, public val data: ByteArray)

/**
 * Shared table of the folded state of this process. Its lock has number 1 in the lock order.
 *
 * Readers take the whole immutable state without the lock. The latest raw records are kept for peers that cannot reach
 * the log service.
 */
public class ControlTable(
    private val decode: (ByteArray) -> DecodedRecord,
    initial: ControlState = ControlState.Empty,
) {
    private val lock = ReentrantLock()
    private val recent = ArrayDeque<RawRecord>()
    private var recentBytes = 0

    @Volatile
    private var current: ControlState = initial

    /** The latest folded state. */
    public val state: ControlState get() = current

    /**
     * Folds [records], which must be in order of offset, and returns how many were new.
     *
     * Records below the folded offset are ignored. Folding stops before a gap; the caller then fetches the rest.
     */
    public fun fold(records: List<RawRecord>): Int =
        lock.withLock {
            var folded = 0
            for (record in records) {
                if (record.offset < current.offset) continue
                if (record.offset > current.offset) break
                current = current.fold(record.offset, decode(record.data))
                keep(record)
                folded++
            }
            folded
        }

    /** Replaces the state by [snapshot] if that is newer, and tells whether it was. */
    public fun install(snapshot: ControlState): Boolean =
        lock.withLock {
            if (snapshot.offset <= current.offset) return false
            current = snapshot
            recent.clear()
            recentBytes = 0
            true
        }

    /**
     * Returns kept records from [from] on, at most [limit] records and [maximumBytes] bytes (but at least one record),
     * or `null` if the record at [from] is not kept any more.
     */
    public fun recordsFrom(from: Offset, limit: Int, maximumBytes: Int): List<RawRecord>? =
        lock.withLock {
            if (from >= current.offset) return emptyList()
            val first = recent.firstOrNull()?.offset ?: return null
            if (from < first) return null
            val result = mutableListOf<RawRecord>()
            var bytes = 0
            for (index in (from.value - first.value).toInt() until recent.size) {
                val record = recent[index]
                bytes += record.data.size
                if (result.size >= limit || (bytes > maximumBytes && result.isNotEmpty())) break
                result += record
            }
            result
        }

    private fun keep(record: RawRecord) {
        recent.addLast(record)
        recentBytes += record.data.size
        while (recent.size > MAX_KEPT_RECORDS || recentBytes > MAX_KEPT_BYTES) {
            recentBytes -= recent.removeFirst().data.size
        }
    }

    private companion object {
        const val MAX_KEPT_RECORDS = 4_000
        const val MAX_KEPT_BYTES = 4 * 1024 * 1024
    }
}
