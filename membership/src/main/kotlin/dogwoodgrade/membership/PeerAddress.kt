package dogwoodgrade.membership

/** Address of an entry's listener for other entries. [host] is an IP address or a host name, [port] is 1 to 65535. */
public data class PeerAddress(
    public val host: String,
    public val port: Int,
) : Comparable<PeerAddress> {
    init {
        require(
            isValidHost(host),
        ) { "\"$host\" is not a host: expected 1 to $MAX_HOST_LENGTH characters [a-zA-Z0-9.:-]" }
        require(port in 1..MAX_PORT) { "port $port is not between 1 and $MAX_PORT" }
    }

    override fun compareTo(other: PeerAddress): Int = compareValuesBy(this, other, PeerAddress::host, PeerAddress::port)

    /** Returns `host:port`, the form that [parseOrNull] reads. */
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Length limit of a host name in DNS, in characters. */
        private const val MAX_HOST_LENGTH = 253

        /** Parses the form `host:port`; returns `null` for any other text. */
        public fun parseOrNull(text: String): PeerAddress? =
            ofOrNull(text.substringBeforeLast(':', ""), text.substringAfterLast(':').toIntOrNull() ?: return null)

        /** Returns the address, or `null` if [host] or [port] is not valid. */
        public fun ofOrNull(host: String, port: Int): PeerAddress? =
            if (isValidHost(host) && port in 1..MAX_PORT) PeerAddress(host, port) else null

        private fun isValidHost(text: String): Boolean =
            text.length in 1..MAX_HOST_LENGTH &&
                text.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in ".:-" }
    }
}
