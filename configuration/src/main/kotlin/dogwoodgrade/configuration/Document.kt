package dogwoodgrade.configuration

import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.Version

/**
 * A configuration record of the operators whose content the system does not read.
 *
 * Contents of several schema versions of one name are kept side by side, so that readers of an old and of a new
 * version find theirs during a rollout.
 */
public data class Document(
    public val key: DocumentKey,
    public val content: String,
    public val version: Version,
) {
    public companion object {
        /** Largest content, in bytes of UTF-8. */
        public const val MAX_CONTENT_BYTES: Int = 16 * 1024
    }
}

/** Identifies the content of one [name] for readers of one [schemaVersion]. */
public data class DocumentKey(
    public val name: DocumentName,
    public val schemaVersion: Int,
)
