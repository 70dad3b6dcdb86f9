package dogwoodgrade.load

/** Payload bytes that the sockets of one process have sent and received, without TCP and IP headers. */
internal data class TrafficCount(val sent: Long, val received: Long) {
    operator fun plus(other: TrafficCount): TrafficCount =
        TrafficCount(sent + other.sent, received + other.received)

    operator fun minus(other: TrafficCount): TrafficCount =
        TrafficCount(sent - other.sent, received - other.received)
}

/**
 * Counts of the kernel for open TCP sockets, read with `ss -tinpH`.
 *
 * The counts of a socket are gone when it is closed; sockets between entries and to the log service stay open.
 */
internal object SocketBytes {
    private val ProcessField = Regex("""pid=(\d+)""")
    private val SentField = Regex("""bytes_sent:(\d+)""")
    private val ReceivedField = Regex("""bytes_received:(\d+)""")

    /** Returns the counts per process for the sockets of which an end has one of [ports]. */
    fun perProcess(ports: Set<Int>): Map<Long, TrafficCount> {
        val process = ProcessBuilder("ss", "-tinpH").start()
        return parse(process.inputReader().use { it.readLines() }, ports)
    }

    /** Parses pairs of lines: addresses with the process, then the counts. */
    fun parse(lines: List<String>, ports: Set<Int>): Map<Long, TrafficCount> {
        val totals = HashMap<Long, TrafficCount>()
        for ((head, counts) in lines.zipWithNext()) {
            val pid = ProcessField
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toLong() ?: continue
            val addresses = head.trim().split(Regex("\\s+")).subList(3, 5)
            if (addresses.none { it.substringAfterLast(':').toIntOrNull() in ports }) continue
            totals.merge(
                pid,
                TrafficCount(valueOf(SentField, counts), valueOf(ReceivedField, counts)),
                TrafficCount::plus,
            )
        }
        return totals
    }

    private fun valueOf(field: Regex, text: String): Long = field
        .find(text)
        ?.groupValues
        ?.get(1)
        ?.toLong() ?: 0
}
