package dogwoodgrade.model

/**
 * Names a team, a customer that authenticates with keys and has a share and an upper limit.
 *
 * A name has 1 to 63 characters: lower-case letters, digits and inner hyphens.
 *
 * @throws IllegalArgumentException if [text] is not such a name; use [parseOrNull] for untrusted text
 */
@JvmInline
public value class TeamName(public val text: String) : Comparable<TeamName> {
    init {
        require(
            isValidName(text),
        ) { "\"$text\" is not a valid team name: expected 1 to $MAX_NAME_LENGTH characters [a-z0-9-]" }
    }

    override fun compareTo(other: TeamName): Int = text.compareTo(other.text)

    /** Returns the name as written in records and settings. */
    override fun toString(): String = text

    public companion object {
        /** Returns the name that [text] stands for, or `null` if it is not a valid name. */
        public fun parseOrNull(text: String): TeamName? = if (isValidName(text)) TeamName(text) else null
    }
}
