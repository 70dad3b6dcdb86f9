package dogwoodgrade.load

/** Payload bytes that sockets have sent and received, without TCP and IP headers. */
internal data class TrafficCount(val sent: Long, val received: Long) {
    /** Sum of both directions. */
    val total: Long get() = sent + received
}

/** One end of an open TCP connection. */
internal data class SocketEnd(val process: Long, val addresses: List<String>) {
    /** Whether the port of one of the two addresses is in [ports]. */
    fun uses(ports: Set<Int>): Boolean = addresses.any { it.substringAfterLast(':').toIntOrNull() in ports }
}

/** Reads the traffic counts of the kernel for the open TCP sockets with `ss -tinpH`. */
internal object SocketBytes {
    private val PROCESS_PATTERN = Regex("""pid=(\d+)""")
    private val SENT_PATTERN = Regex("""bytes_sent:(\d+)""")
    private val RECEIVED_PATTERN = Regex("""bytes_received:(\d+)""")

    /** Returns the counts of all open sockets. */
    fun read(): Map<SocketEnd, TrafficCount> {
        val process = ProcessBuilder("ss", "-tinpH").start()
        return parse(process.inputReader().use { it.readLines() })
    }

    /** Parses pairs of lines: the addresses and the process, then the counts. */
    fun parse(lines: List<String>): Map<SocketEnd, TrafficCount> {
        val result = HashMap<SocketEnd, TrafficCount>()
        for ((addressLine, countLine) in lines.zipWithNext()) {
            val pid = PROCESS_PATTERN
                .find(addressLine)
                ?.groupValues
                ?.get(1)
                ?.toLong() ?: continue
            val addresses = addressLine.trim().split(Regex("\\s+")).subList(3, 5)
            result[SocketEnd(pid, addresses)] =
                TrafficCount(valueOf(SENT_PATTERN, countLine), valueOf(RECEIVED_PATTERN, countLine))
        }
        return result
    }

    private fun valueOf(pattern: Regex, text: String): Long = pattern
        .find(text)
        ?.groupValues
        ?.get(1)
        ?.toLong() ?: 0
}

/**
 * Adds up the bytes that sockets transfer between samples. The kernel drops the counts of a closed socket, so bytes
 * transferred after its last sample are missing. A new socket counts from zero.
 */
internal class TrafficSum {
    private var last: Map<SocketEnd, TrafficCount>? = null
    private val totals = HashMap<SocketEnd, Long>()

    /** Adds the bytes transferred since the last sample. The first sample only sets the baseline. */
    fun add(sample: Map<SocketEnd, TrafficCount>) {
        val before = last
        if (before != null) {
            for ((socket, count) in sample) {
                totals.merge(socket, count.total - (before[socket]?.total ?: 0), Long::plus)
            }
        }
        last = sample
    }

    /** Returns the bytes sent and received by [process] on connections with one of [ports]. */
    fun bytesOf(process: Long, ports: Set<Int>): Long =
        totals.filterKeys { it.process == process && it.uses(ports) }.values.sum()
}
