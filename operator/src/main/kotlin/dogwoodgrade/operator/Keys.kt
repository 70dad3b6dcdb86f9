package dogwoodgrade.operator

import dogwoodgrade.model.KeyDigest
import java.util.Base64

/** Random bytes in a new key: 256 bits, so that a key cannot be guessed from its unsalted digest. */
private const val KEY_BYTES = 32

/** Generates a key from the random bytes that [fill] writes into an array. */
internal fun newKey(fill: (ByteArray) -> Unit): String =
    Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(KEY_BYTES).also(fill))

/**
 * Returns the digest that [text] denotes: [text] itself if it is a complete digest, the only one of [knownDigests] that
 * starts with it, or else the digest of [text] as a key.
 */
internal fun resolveDigest(text: String, knownDigests: Collection<KeyDigest>): KeyDigest =
    KeyDigest.parseOrNull(text)
        ?: knownDigests.singleOrNull { text.length >= MINIMUM_DIGEST_PREFIX_LENGTH && it.hexadecimal.startsWith(text) }
        ?: KeyDigest.of(text)

/** Shortest prefix that is taken for a digest, in characters: the length of the short digests in listings. */
private const val MINIMUM_DIGEST_PREFIX_LENGTH = 8
