package dogwoodgrade.model

/**
 * What is known about the execution of a request that was not answered by an endpoint.
 *
 * [No] is a promise: no endpoint has started the request, and none will.
 */
public enum class Execution {
    No,
    Unknown,
    ;

    /** The form in refusal bodies. */
    public val text: String get() = name.lowercase()
}
