package dogwoodgrade.control

import dogwoodgrade.model.Offset
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** An encoded record of the control stream. */
public class RawRecord(public val offset: Offset, public val data: ByteArray)

/**
 * The folded state of this process, shared by all threads. Its lock has number 1 in the lock order of the entry
 * process.
 *
 * Readers get the immutable state without taking the lock. The latest raw records are kept for peers that cannot reach
 * the log service.
 */
public class ControlTable(
    private val decode: (ByteArray) -> DecodedRecord,
    initial: ControlState = ControlState.Empty,
) {
    private val lock = ReentrantLock()
    private val recentRecords = ArrayDeque<RawRecord>()
    private var recentBytes = 0

    @Volatile
    private var current: ControlState = initial

    /** The latest folded state. */
    public val state: ControlState get() = current

    /**
     * Folds [records], which must be in order of offset, and returns the number of new ones.
     *
     * Records below the folded offset are ignored. Folding stops before a gap; the caller must then fetch the missing
     * records.
     */
    public fun fold(records: List<RawRecord>): Int =
        lock.withLock {
            var folded = 0
            for (record in records) {
                if (record.offset < current.offset) continue
                if (record.offset > current.offset) break
                current = current.fold(record.offset, decode(record.data))
                keepForPeers(record)
                folded++
            }
            folded
        }

    /** Replaces the state by [snapshot] if that is newer; returns whether it was. */
    public fun install(snapshot: ControlState): Boolean =
        lock.withLock {
            if (snapshot.offset <= current.offset) return false
            current = snapshot
            recentRecords.clear()
            recentBytes = 0
            true
        }

    /**
     * Returns kept records from [from] on, at most [limit] records and [maximumBytes] bytes (but at least one record),
     * or `null` if the record at [from] is no longer kept.
     */
    public fun recordsFrom(from: Offset, limit: Int, maximumBytes: Int): List<RawRecord>? =
        lock.withLock {
            if (from >= current.offset) return emptyList()
            val first = recentRecords.firstOrNull()?.offset ?: return null
            if (from < first) return null
            val result = mutableListOf<RawRecord>()
            var bytes = 0
            for (index in (from.value - first.value).toInt() until recentRecords.size) {
                val record = recentRecords[index]
                bytes += record.data.size
                if (result.size >= limit || (bytes > maximumBytes && result.isNotEmpty())) break
                result += record
            }
            result
        }

    private fun keepForPeers(record: RawRecord) {
        recentRecords.addLast(record)
        recentBytes += record.data.size
        while (recentRecords.size > MAX_KEPT_RECORDS || recentBytes > MAX_KEPT_BYTES) {
            recentBytes -= recentRecords.removeFirst().data.size
        }
    }

    private companion object {
        const val MAX_KEPT_RECORDS = 4_000
        const val MAX_KEPT_BYTES = 4 * 1024 * 1024
    }
}
