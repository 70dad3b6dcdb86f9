package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity

/**
 * Permits of one team that one entry holds.
 *
 * @property count number of permits
 * @property wanted total demand that the entry reported last
 */
public data class HeldPermits(
    public val count: Int,
    public val wanted: Int,
)

/**
 * Permits of one team. The sum of held, quarantined and free permits is the limit.
 *
 * @property limit upper limit of the team over the whole fleet
 * @property free permits that no entry holds; negative after the limit was lowered below the held and quarantined ones
 * @property held permits per joined entry; an entry without permits and without demand is absent
 * @property quarantined permits per ended entry, until they are reclaimed
 * @property removed true if the team was removed while permits were outstanding; its limit is then 0, and the team is
 * dropped once all permits have been returned. If it were dropped at once, a team created again under the same name
 * could exceed its limit, because the old tasks still run.
 */
public data class TeamPermits(
    public val limit: Int,
    public val free: Int,
    public val held: Map<EntryIdentity, HeldPermits> = emptyMap(),
    public val quarantined: Map<EntryIdentity, Int> = emptyMap(),
    public val removed: Boolean = false,
) {
    /** Number of permits held by all joined entries. */
    public val heldTotal: Int get() = held.values.sumOf { it.count }

    /** Number of permits of ended entries whose tasks may still run. */
    public val quarantinedTotal: Int get() = quarantined.values.sum()

    /** Whether the permits add up to the limit and no count is negative; false for a corrupted snapshot. */
    public val isBalanced: Boolean
        get() =
            limit in 0..MAX_PERMITS &&
                held.values.all { it.count >= 0 && it.wanted >= 0 } &&
                quarantined.values.all { it > 0 } &&
                held.values.sumOf { it.count.toLong() } + quarantined.values.sumOf { it.toLong() } + free ==
                limit.toLong()

    /** Returns the number of permits that [entry] holds. */
    public fun heldBy(entry: EntryIdentity): Int = held[entry]?.count ?: 0

    /** Returns the demand that [entry] last reported. */
    public fun wantedBy(entry: EntryIdentity): Int = held[entry]?.wanted ?: 0

    /**
     * Returns how many of its permits [entry] may use for running tasks.
     *
     * While more permits are held than the limit allows, each entry scales its use down in proportion. The parts add up
     * to at most the limit minus the quarantined permits, so no new task keeps the team above a lowered limit.
     */
    public fun usableBy(entry: EntryIdentity): Int {
        val own = heldBy(entry)
        if (free >= 0 || own == 0) return own
        val allowed = (limit - quarantinedTotal).coerceAtLeast(0)
        return (own.toLong() * allowed / heldTotal).toInt()
    }
}

internal fun TeamPermits.withLimit(newLimit: Int): TeamPermits =
    copy(limit = newLimit, free = free + newLimit - limit, removed = false)

/** Applies the release first, so that released permits can be taken by the same change. */
internal fun TeamPermits.withChange(entry: EntryIdentity, change: PermitChange): TeamPermits {
    val afterRelease = free + change.release
    val granted = change.take.coerceAtMost(afterRelease.coerceAtLeast(0))
    val next = HeldPermits(heldBy(entry) - change.release + granted, change.wanted)
    val others = held - entry
    return copy(
        free = afterRelease - granted,
        held = if (next.count == 0 && next.wanted == 0) others else others + (entry to next),
    )
}

internal fun TeamPermits.withHeldFreed(entry: EntryIdentity): TeamPermits =
    if (entry in held) copy(free = free + heldBy(entry), held = held - entry) else this

internal fun TeamPermits.withHeldQuarantined(entry: EntryIdentity): TeamPermits {
    val count = heldBy(entry)
    val quarantine = if (count > 0) quarantined + (entry to count) else quarantined
    return if (entry in held) copy(held = held - entry, quarantined = quarantine) else this
}

internal fun TeamPermits.withQuarantinedFreed(entry: EntryIdentity): TeamPermits {
    val count = quarantined[entry] ?: return this
    return copy(free = free + count, quarantined = quarantined - entry)
}
