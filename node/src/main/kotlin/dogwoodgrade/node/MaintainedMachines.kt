package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord

/**
 * Machines whose maintenance has begun, per wave, as the progress topic records them.
 *
 * Guarded by its own lock (number 6 in the lock order).
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

    /** Machines of [wave] whose maintenance has begun. */
    @Synchronized
    fun of(wave: Long): Set<String> = machines[wave].orEmpty()

    companion object {
        private const val PREFIX = "maintained/"

        /** Key of the record of [wave]. */
        fun key(wave: Long): String = PREFIX + wave

        /** Content of the record. */
        fun encode(machines: Set<String>): ByteArray = machines.joinToString("\n").encodeToByteArray()
    }
}
