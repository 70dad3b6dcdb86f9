package dogwoodgrade.model

/**
 * Names a rack, the smallest failure domain that holds several workers.
 *
 * A name has 1 to 63 characters: lower-case letters, digits and inner hyphens.
 *
 * @throws IllegalArgumentException if [text] is not such a name; use [parseOrNull] for untrusted text
 */
@JvmInline
public value class RackName(public val text: String) : Comparable<RackName> {
    init {
        require(
            isValidName(text),
        ) { "\"$text\" is not a valid rack name: expected 1 to $MAX_NAME_LENGTH characters [a-z0-9-]" }
    }

    override fun compareTo(other: RackName): Int = text.compareTo(other.text)

    /** Returns the name as written in records and settings. */
    override fun toString(): String = text

    public companion object {
        /** Returns the name that [text] stands for, or `null` if it is not a valid name. */
        public fun parseOrNull(text: String): RackName? = if (isValidName(text)) RackName(text) else null
    }
}
