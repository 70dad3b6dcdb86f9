package dogwoodgrade.membership

import dogwoodgrade.model.EntryIdentity

/**
 * Short key of an entry identity, used in messages in place of the name.
 *
 * In a fleet of 72 entries, the probability that two identities share a key is below one in a million. A member whose
 * key is ambiguous is never listed in a digest and is therefore sent in full.
 */
@JvmInline
public value class MemberKey(public val bits: Int) {
    public companion object {
        private const val FNV_OFFSET_BASIS = 0x811C9DC5.toInt()
        private const val FNV_PRIME = 0x01000193

        /** Returns the key of [identity]: the 32-bit FNV-1a hash of its text, with 1 in place of 0. */
        public fun of(identity: EntryIdentity): MemberKey {
            val hash = identity.toString().fold(FNV_OFFSET_BASIS) { hash, char -> (hash xor char.code) * FNV_PRIME }
            // 0 is not used, because protobuf does not distinguish it from an absent field.
            return MemberKey(if (hash == 0) 1 else hash)
        }
    }
}
