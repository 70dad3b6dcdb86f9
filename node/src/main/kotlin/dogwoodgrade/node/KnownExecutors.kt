package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport

/**
 * Executors on which an owner may have started runs, as recorded in the progress topic. The live list cannot replace
 * this table: it drops executors that are cut off, although their runs continue.
 *
 * Guarded by its own lock (number 7 in the lock order of the node process).
 */
internal class KnownExecutors {
    private val executors = mutableMapOf<ExecutorIdentifier, ExecutorReport>()

    /** Applies a record of the progress topic. */
    @Synchronized
    fun apply(record: KeyedRecord) {
        val identifier = FleetRecords.executorOf(record.key) ?: return
        val report = record.value?.let { FleetRecords.decodeExecutor(identifier, it) }
        if (report == null) executors -= identifier else executors[identifier] = report
    }

    /** Returns all recorded executors. */
    @Synchronized
    fun all(): List<ExecutorReport> = executors.values.toList()
}
