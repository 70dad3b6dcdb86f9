package dogwoodgrade.model

/**
 * Names a service; it is the first segment of a caller's path and is served by one pool.
 *
 * A name has 1 to 63 characters: lower-case letters, digits and inner hyphens.
 *
 * @throws IllegalArgumentException if [text] is not such a name; use [parseOrNull] for untrusted text
 */
@JvmInline
public value class ServiceName(public val text: String) : Comparable<ServiceName> {
    init {
        require(isValidName(text)) {
            "\"$text\" is not a valid service name: expected 1 to $MAX_NAME_LENGTH characters [a-z0-9-]"
        }
    }

    override fun compareTo(other: ServiceName): Int = text.compareTo(other.text)

    /** Returns the name as written in records and settings. */
    override fun toString(): String = text

    public companion object {
        /** Returns the name that [text] stands for, or `null` if it is not a valid name. */
        public fun parseOrNull(text: String): ServiceName? = if (isValidName(text)) ServiceName(text) else null
    }
}
