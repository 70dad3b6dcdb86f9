package dogwoodgrade.model

/**
 * Identifies one run of an entry process.
 *
 * The [incarnation] increases with every start of the same entry, so that records and messages of an earlier run can be
 * recognized and refused. It usually is the start time in milliseconds since the Unix epoch.
 */
public data class EntryIdentity(
    public val name: EntryName,
    public val incarnation: Long,
) : Comparable<EntryIdentity> {
    init {
        require(incarnation > 0) { "incarnation $incarnation of entry $name is not positive" }
    }

    override fun compareTo(other: EntryIdentity): Int =
        compareValuesBy(this, other, EntryIdentity::name, EntryIdentity::incarnation)

    /** Returns `name/incarnation`, the form that [parseOrNull] reads. */
    override fun toString(): String = "$name/$incarnation"

    public companion object {
        /** Parses the form `name/incarnation`; returns `null` for any other text. */
        public fun parseOrNull(text: String): EntryIdentity? {
            val separator = text.lastIndexOf('/')
            if (separator < 0) return null
            val name = EntryName.parseOrNull(text.substring(0, separator)) ?: return null
            val incarnation = text.substring(separator + 1).toLongOrNull()?.takeIf { it > 0 } ?: return null
            return EntryIdentity(name, incarnation)
        }
    }
}
