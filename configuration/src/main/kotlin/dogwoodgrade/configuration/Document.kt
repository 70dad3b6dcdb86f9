package dogwoodgrade.configuration

import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.Version

/**
 * A configuration document of the operators. The system stores its content but does not interpret it.
 *
 * A document may have content for several schema versions at the same time, so that readers of an old and of a new
 * version both find theirs during a rollout.
 */
public data class Document(
    public val key: DocumentKey,
    public val content: String,
    public val version: Version,
) {
    public companion object {
        /** Largest size of the content, in bytes of UTF-8. */
        public const val MAX_CONTENT_BYTES: Int = 16 * 1024
    }
}

/** Identifies the content of the document [name] for readers of [schemaVersion]. */
public data class DocumentKey(
    public val name: DocumentName,
    public val schemaVersion: Int,
)
