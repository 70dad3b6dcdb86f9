package dogwoodgrade.membership

import dogwoodgrade.model.EntryName

/**
 * Returns the entry that writes the next snapshot: the one with the lowest name among [own] and the live [members].
 * Entries with different views of the membership may choose different writers; duplicate snapshots are harmless.
 */
public fun chooseSnapshotWriter(own: EntryName, members: List<MemberView>): EntryName =
    members.filter { it.liveness == Liveness.Alive }.minOfOrNull { it.identity.name }?.let { minOf(it, own) } ?: own
