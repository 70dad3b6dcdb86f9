package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport

/**
 * Executors on which an owner may have started runs, as the progress topic records them. The live list is no
 * substitute: entries of executors that are cut off lapse while their runs go on.
 *
 * Guarded by its own lock (number 7 in the lock order).
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

    /** All executors that are recorded. */
    @Synchronized
    fun all(): List<ExecutorReport> = executors.values.toList()
}
