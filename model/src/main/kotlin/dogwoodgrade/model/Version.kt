package dogwoodgrade.model

/**
 * Version of one configuration item. Each accepted change of the item increases it by one; version 0 means that the
 * item does not exist yet. A change states the version that it is based on, so it acts as a compare-and-set.
 */
@JvmInline
public value class Version(public val number: Long) : Comparable<Version> {
    init {
        require(number >= 0) { "version $number is negative" }
    }

    /** The version after one more accepted change. */
    public val next: Version get() = Version(number + 1)

    override fun compareTo(other: Version): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The version of an item that does not exist. */
        public val None: Version = Version(0)
    }
}
