package dogwoodgrade.model

/**
 * Whether an endpoint may have executed a request that it did not answer.
 *
 * [No] guarantees that no endpoint has started the request and that none will.
 */
public enum class Execution {
    No,
    Unknown,
    ;

    /** The form that is used in the bodies of refusals. */
    public val text: String get() = name.lowercase()
}
