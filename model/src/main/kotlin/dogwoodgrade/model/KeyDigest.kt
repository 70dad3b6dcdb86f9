package dogwoodgrade.model

import java.security.MessageDigest
import java.util.HexFormat

/**
 * SHA-256 digest of a team's key, as 64 lower-case hexadecimal characters.
 *
 * Keys themselves are neither stored nor logged. They are long random strings, so that a digest without a salt cannot
 * be reversed by guessing.
 */
@JvmInline
public value class KeyDigest(public val hexadecimal: String) {
    init {
        require(isValid(hexadecimal)) { "a key digest has $DIGEST_LENGTH hexadecimal characters" }
    }

    /** Returns whether the digests are equal, in a time that does not depend on where they differ. */
    public fun matches(other: KeyDigest): Boolean =
        MessageDigest.isEqual(hexadecimal.encodeToByteArray(), other.hexadecimal.encodeToByteArray())

    /** Returns the first eight characters, enough to tell keys apart in output for operators. */
    override fun toString(): String = hexadecimal.take(SHORT_LENGTH)

    public companion object {
        private const val DIGEST_LENGTH = 64
        private const val SHORT_LENGTH = 8

        /** Returns the digest of [key]. */
        public fun of(key: String): KeyDigest =
            KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())))

        /** Returns the digest written as [text], or `null` if it is not 64 lower-case hexadecimal characters. */
        public fun parseOrNull(text: String): KeyDigest? = if (isValid(text)) KeyDigest(text) else null

        private fun isValid(text: String): Boolean =
            text.length == DIGEST_LENGTH && text.all { it in '0'..'9' || it in 'a'..'f' }
    }
}
