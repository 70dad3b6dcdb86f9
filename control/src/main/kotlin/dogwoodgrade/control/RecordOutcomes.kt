package dogwoodgrade.control

import dogwoodgrade.model.Offset
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Result of folding one record: accepted if [code] is [ResultCode.Accepted], else refused. */
public data class RecordOutcome(
    public val identifier: RecordIdentifier,
    public val offset: Offset,
    public val code: ResultCode,
    public val message: String,
) {
    /** Whether the record took effect. */
    public val accepted: Boolean get() = code == ResultCode.Accepted
}

/**
 * Outcomes of the latest records. They serve to drop copies of records and to report the results to the proposers.
 *
 * Two generations are kept; when the newer one is full, it replaces the older one. So at least the latest
 * [GENERATION_SIZE] outcomes are known, and no record pays for the removal of the oldest ones.
 */
public data class RecordOutcomes(
    public val older: Map<RecordIdentifier, RecordOutcome>,
    public val newer: PersistentMap<RecordIdentifier, RecordOutcome>,
) {
    /** Returns the outcome of the record [identifier], or `null` if it is not known or no longer kept. */
    public operator fun get(identifier: RecordIdentifier): RecordOutcome? = newer[identifier] ?: older[identifier]

    /** Returns these outcomes with [outcome] added. */
    public operator fun plus(outcome: RecordOutcome): RecordOutcomes =
        if (newer.size >= GENERATION_SIZE) {
            RecordOutcomes(newer, persistentHashMapOf(outcome.identifier to outcome))
        } else {
            copy(newer = newer.put(outcome.identifier, outcome))
        }

    public companion object {
        /** Number of outcomes in one generation. */
        public const val GENERATION_SIZE: Int = 4_096

        /** No outcomes. */
        public val Empty: RecordOutcomes = RecordOutcomes(emptyMap(), persistentHashMapOf())
    }
}
