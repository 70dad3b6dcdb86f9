package dogwoodgrade.model

/**
 * Position of a record in a stream of the log service. The first record of a stream has offset 0.
 *
 * A state "at offset n" has folded every record below n.
 */
@JvmInline
public value class Offset(public val value: Long) : Comparable<Offset> {
    init {
        require(value >= 0) { "offset $value is negative" }
    }

    /** The offset that follows this one. */
    public val next: Offset get() = Offset(value + 1)

    override fun compareTo(other: Offset): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The offset of the first record of a stream. */
        public val Zero: Offset = Offset(0)
    }
}
