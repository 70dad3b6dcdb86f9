package dogwoodgrade.model

/** Largest length of a name, in characters; the limit of a DNS label, so that names can be used in host names. */
public const val MAX_NAME_LENGTH: Int = 63

/** Returns whether [text] consists of 1 to [MAX_NAME_LENGTH] lower-case letters, digits and inner hyphens. */
internal fun isValidName(text: String): Boolean =
    text.length in 1..MAX_NAME_LENGTH &&
        text.all { it in 'a'..'z' || it in '0'..'9' || it == '-' } &&
        !text.startsWith('-') &&
        !text.endsWith('-')
