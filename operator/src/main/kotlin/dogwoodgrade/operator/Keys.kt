package dogwoodgrade.operator

import dogwoodgrade.model.KeyDigest
import java.util.Base64

/** Random bytes of a key: 256 bits, so that its plain digest cannot be reversed by guessing. */
private const val KEY_BYTES = 32

/** Returns a new key; [fill] fills an array with random bytes. */
internal fun newKey(fill: (ByteArray) -> Unit): String =
    Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(KEY_BYTES).also(fill))

/**
 * Returns the digest that [text] stands for among [known]: a complete digest, the unique beginning of a known one, or
 * the digest of [text] as a key.
 */
internal fun digestOf(text: String, known: Collection<KeyDigest>): KeyDigest =
    KeyDigest.parseOrNull(text)
        ?: known.singleOrNull { text.length >= SHORTEST_DIGEST && it.hexadecimal.startsWith(text) }
        ?: KeyDigest.of(text)

/** Characters of a short digest in listings. */
private const val SHORTEST_DIGEST = 8
