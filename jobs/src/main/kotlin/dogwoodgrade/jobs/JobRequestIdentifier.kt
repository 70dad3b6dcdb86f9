package dogwoodgrade.jobs

/**
 * Identifies one job. It is created by the entry that accepts the job and must not be reused.
 *
 * @throws IllegalArgumentException if [text] is not 1 to [MAX_LENGTH] printable ASCII characters without `/`; use
 * [parseOrNull] for untrusted text
 */
@JvmInline
public value class JobRequestIdentifier(public val text: String) : Comparable<JobRequestIdentifier> {
    init {
        require(isValid(text)) { "job identifier is not 1 to $MAX_LENGTH printable characters without '/'" }
    }

    override fun compareTo(other: JobRequestIdentifier): Int = text.compareTo(other.text)

    override fun toString(): String = text

    public companion object {
        /** Largest length of an identifier, in characters. */
        public const val MAX_LENGTH: Int = 64

        /** Returns the identifier that [text] stands for, or `null` if it is not valid. */
        public fun parseOrNull(
            text: String,
        ): JobRequestIdentifier? = if (isValid(text)) JobRequestIdentifier(text) else null

        private fun isValid(text: String): Boolean =
            text.length in 1..MAX_LENGTH && text.all { it in '!'..'~' && it != '/' }
    }
}
