package dogwoodgrade.jobs

/**
 * A persistent map that is cheap to update: an updated copy replaces one of [SHARD_COUNT] small maps and shares the
 * others.
 *
 * Copying a whole map of 4,000 jobs for each record would take most of the processor time that a node may spend on
 * control. Equality is that of any map. The order of iteration depends only on the hash codes of the keys, so it is the
 * same in every process, but it differs from that of a map that was decoded from a snapshot.
 */
internal class ShardedMap<Key : Any, Value : Any> private constructor(
    private val shards: Array<Map<Key, Value>>,
    override val size: Int,
) : AbstractMap<Key, Value>() {
    override val entries: Set<Map.Entry<Key, Value>> =
        object : AbstractSet<Map.Entry<Key, Value>>() {
            override val size: Int get() = this@ShardedMap.size

            override fun iterator(): Iterator<Map.Entry<Key, Value>> = iterator {
                shards.forEach {
                    yieldAll(
                        it.entries,
                    )
                }
            }
        }

    override fun get(key: Key): Value? = shards[shardOf(key)][key]

    override fun containsKey(key: Key): Boolean = key in shards[shardOf(key)]

    fun with(key: Key, value: Value): ShardedMap<Key, Value> = replacing(shardOf(key)) { it + (key to value) }

    fun without(key: Key): ShardedMap<Key, Value> = if (key in this) replacing(shardOf(key)) { it - key } else this

    private inline fun replacing(
        index: Int,
        change: (Map<Key, Value>) -> Map<Key, Value>,
    ): ShardedMap<Key, Value> {
        val changed = shards.copyOf()
        changed[index] = change(shards[index])
        return ShardedMap(changed, size + changed[index].size - shards[index].size)
    }

    companion object {
        /** Number of shards. With 4,000 jobs, copying the array of shards costs about as much as copying one shard. */
        private const val SHARD_COUNT = 128

        /** Returns [map] itself if it is sharded, or a sharded copy. */
        fun <Key : Any, Value : Any> of(map: Map<Key, Value>): ShardedMap<Key, Value> {
            if (map is ShardedMap<Key, Value>) return map
            val shards = Array<Map<Key, Value>>(SHARD_COUNT) { emptyMap() }
            map.entries.groupBy { shardOf(it.key) }.forEach { (index, entries) ->
                shards[index] = entries.associate { it.key to it.value }
            }
            return ShardedMap(shards, map.size)
        }

        private fun shardOf(key: Any): Int = Math.floorMod(key.hashCode() * HASH_FACTOR ushr HASH_SHIFT, SHARD_COUNT)

        // Fibonacci hashing distributes keys whose hash codes differ only in their low bits.
        private const val HASH_FACTOR = -1_640_531_527
        private const val HASH_SHIFT = 16
    }
}

internal fun <Key : Any, Value : Any> Map<Key, Value>.with(key: Key, value: Value): Map<Key, Value> =
    ShardedMap.of(this).with(key, value)

internal fun <Key : Any, Value : Any> Map<Key, Value>.without(key: Key): Map<Key, Value> =
    ShardedMap.of(this).without(key)
