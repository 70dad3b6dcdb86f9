package dogwoodgrade.model

/**
 * Identifies one record of the log. A record that is appended again because the answer to the first append was lost
 * keeps its identifier, so that the fold can drop the copy.
 */
@JvmInline
public value class RecordIdentifier(public val text: String) {
    init {
        require(text.length in 1..MAX_IDENTIFIER_LENGTH) {
            "record identifier has ${text.length} characters, expected 1 to $MAX_IDENTIFIER_LENGTH"
        }
    }

    override fun toString(): String = text

    public companion object {
        /** Largest length of a record identifier, in characters. */
        public const val MAX_IDENTIFIER_LENGTH: Int = 64
    }
}
