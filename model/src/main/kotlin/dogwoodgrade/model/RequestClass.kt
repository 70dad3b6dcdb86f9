package dogwoodgrade.model

/** Class of a request. Urgent requests may use the pool's urgent reserve and precede the normal ones of their team. */
public enum class RequestClass {
    Urgent,
    Normal,
    ;

    /** The name as written in the `Dogwoodgrade-Class` header and in metrics. */
    public val text: String get() = name.lowercase()

    public companion object {
        /** Parses the header form, ignoring case; returns `null` for an unknown class. */
        public fun parseOrNull(
            text: String,
        ): RequestClass? = entries.firstOrNull { it.text.equals(text, ignoreCase = true) }
    }
}
