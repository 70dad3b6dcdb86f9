package dogwoodgrade.scheduling

/**
 * An amount of the resources that executors offer and tasks request.
 *
 * @property processor processor capacity in thousandths of a core
 * @property memory memory in megabytes
 * @property accelerators number of devices
 */
public data class Resources(
    public val processor: Long = 0,
    public val memory: Long = 0,
    public val accelerators: Long = 0,
) {
    public operator fun plus(other: Resources): Resources =
        Resources(processor + other.processor, memory + other.memory, accelerators + other.accelerators)

    public operator fun minus(other: Resources): Resources =
        Resources(processor - other.processor, memory - other.memory, accelerators - other.accelerators)

    /** Returns whether this amount is at most [available] in each dimension. */
    public fun fitsIn(available: Resources): Boolean =
        processor <= available.processor && memory <= available.memory && accelerators <= available.accelerators

    /** Returns whether [inUse] plus [request] stays within this limit, where 0 means that a dimension is unlimited. */
    public fun admits(inUse: Resources, request: Resources): Boolean =
        (processor == 0L || inUse.processor + request.processor <= processor) &&
            (memory == 0L || inUse.memory + request.memory <= memory) &&
            (accelerators == 0L || inUse.accelerators + request.accelerators <= accelerators)

    /** Whether every dimension is an amount that an executor may offer or a task may request. */
    public val isPlausible: Boolean
        get() = listOf(processor, memory, accelerators).all { it in 0..LARGEST_AMOUNT }

    public companion object {
        /** Largest plausible amount: the sum over all executors fits into 64 bits with a wide margin. */
        public const val LARGEST_AMOUNT: Long = 1_000_000_000

        /** No resources. */
        public val None: Resources = Resources()
    }
}
