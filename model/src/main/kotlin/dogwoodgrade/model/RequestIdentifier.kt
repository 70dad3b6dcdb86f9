package dogwoodgrade.model

/** Identifies one request of a caller: the value of its `X-Request-Id` header, or one that the entry generated. */
@JvmInline
public value class RequestIdentifier(public val text: String) {
    init {
        require(isValid(text)) { "request identifier is not 1 to $MAX_REQUEST_IDENTIFIER_LENGTH printable characters" }
    }

    override fun toString(): String = text

    public companion object {
        /** Largest length of a request identifier, in characters. */
        public const val MAX_REQUEST_IDENTIFIER_LENGTH: Int = 128

        /** Returns the identifier that [text] stands for, or `null` if it is empty, too long or not printable ASCII. */
        public fun parseOrNull(text: String): RequestIdentifier? = if (isValid(text)) RequestIdentifier(text) else null

        private fun isValid(text: String): Boolean =
            text.length in 1..MAX_REQUEST_IDENTIFIER_LENGTH && text.all { it in '!'..'~' }
    }
}
