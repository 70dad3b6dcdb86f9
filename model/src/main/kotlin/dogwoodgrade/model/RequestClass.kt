package dogwoodgrade.model

/** Class of a request. Urgent work may use the pool's urgent reserve and goes first within its team. */
public enum class RequestClass {
    Urgent,
    Normal,
    ;

    /** The name as written in the `Dogwoodgrade-Class` header and in metrics. */
    public val text: String get() = name.lowercase()

    public companion object {
        /** Parses the header form, in any case; returns `null` for an unknown class. */
        public fun parseOrNull(
            text: String,
        ): RequestClass? = entries.firstOrNull { it.text.equals(text, ignoreCase = true) }
    }
}
