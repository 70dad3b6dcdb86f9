package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord

/**
 * Machines whose maintenance has begun, by wave, as recorded in the progress topic.
 *
 * Guarded by its own lock (number 6 in the lock order of the node process).
 */
internal class MaintainedMachines {
    private val machines = mutableMapOf<Long, Set<String>>()

    /** Applies a record of the progress topic. */
    @Synchronized
    fun apply(record: KeyedRecord) {
        if (!record.key.startsWith(PREFIX)) return
        val wave = record.key.removePrefix(PREFIX).toLongOrNull() ?: return
        val value = record.value?.decodeToString().orEmpty()
        machines[wave] = value.split('\n').filterTo(mutableSetOf()) { it.isNotEmpty() }
    }

    /** Returns the machines of [wave] whose maintenance has begun. */
    @Synchronized
    fun of(wave: Long): Set<String> = machines[wave].orEmpty()

    companion object {
        private const val PREFIX = "maintained/"

        /** Returns the key of the record of [wave]. */
        fun key(wave: Long): String = PREFIX + wave

        /** Returns the value of a record with [machines]. */
        fun encode(machines: Set<String>): ByteArray = machines.joinToString("\n").encodeToByteArray()
    }
}
