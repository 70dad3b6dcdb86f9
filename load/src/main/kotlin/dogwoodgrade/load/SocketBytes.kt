package dogwoodgrade.load

/** Payload bytes that sockets have sent and received, without TCP and IP headers. */
internal data class TrafficCount(val sent: Long, val received: Long) {
    /** Sum of both directions. */
    val total: Long get() = sent + received
}

/** One end of an open TCP connection. */
internal data class SocketEnd(val process: Long, val addresses: List<String>) {
    /** Whether one of the two addresses has one of [ports]. */
    fun uses(ports: Set<Int>): Boolean = addresses.any { it.substringAfterLast(':').toIntOrNull() in ports }
}

/** Counts of the kernel for the open TCP sockets, read with `ss -tinpH`. */
internal object SocketBytes {
    private val ProcessField = Regex("""pid=(\d+)""")
    private val SentField = Regex("""bytes_sent:(\d+)""")
    private val ReceivedField = Regex("""bytes_received:(\d+)""")

    /** Returns the counts of all open sockets. */
    fun read(): Map<SocketEnd, TrafficCount> {
        val process = ProcessBuilder("ss", "-tinpH").start()
        return parse(process.inputReader().use { it.readLines() })
    }

    /** Parses pairs of lines: addresses with the process, then the counts. */
    fun parse(lines: List<String>): Map<SocketEnd, TrafficCount> {
        val result = HashMap<SocketEnd, TrafficCount>()
        for ((head, counts) in lines.zipWithNext()) {
            val pid = ProcessField
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toLong() ?: continue
            val addresses = head.trim().split(Regex("\\s+")).subList(3, 5)
            result[SocketEnd(pid, addresses)] = TrafficCount(valueOf(SentField, counts), valueOf(ReceivedField, counts))
        }
        return result
    }

    private fun valueOf(field: Regex, text: String): Long = field
        .find(text)
        ?.groupValues
        ?.get(1)
        ?.toLong() ?: 0
}

/**
 * Adds up what sockets transfer between samples. The counts of a socket are gone when it is closed, so that what it
 * transferred after the last sample is missing; a new socket counts from zero.
 */
internal class TrafficSum {
    private var last: Map<SocketEnd, TrafficCount>? = null
    private val totals = HashMap<SocketEnd, Long>()

    /** Adds what was transferred since the last sample; the first sample only sets the start. */
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
