package dogwoodgrade.model

/**
 * Names an entry. The processes that run it one after the other have the same name; see [EntryIdentity].
 *
 * A name has 1 to 63 characters: lower-case letters, digits and inner hyphens.
 *
 * @throws IllegalArgumentException if [text] is not such a name; use [parseOrNull] for untrusted text
 */
@JvmInline
public value class EntryName(public val text: String) : Comparable<EntryName> {
    init {
        require(isValidName(text)) {
            "\"$text\" is not a valid entry name: expected 1 to $MAX_NAME_LENGTH characters [a-z0-9-]"
        }
    }

    override fun compareTo(other: EntryName): Int = text.compareTo(other.text)

    /** Returns the name as written in records and settings. */
    override fun toString(): String = text

    public companion object {
        /** Returns the name that [text] stands for, or `null` if it is not a valid name. */
        public fun parseOrNull(text: String): EntryName? = if (isValidName(text)) EntryName(text) else null
    }
}
