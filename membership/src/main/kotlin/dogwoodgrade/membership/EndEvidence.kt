package dogwoodgrade.membership

import dogwoodgrade.model.EntryIdentity

/** Result of a probe of a peer address. */
public sealed interface ProbeResult {
    /** The host actively refused the connection. */
    public data object ConnectionRefused : ProbeResult

    /** An entry answered and stated its identity. */
    public data class Answered(public val identity: EntryIdentity) : ProbeResult

    /** Anything else: a timeout, an unreachable network or an answer that cannot be decoded. */
    public data object NoAnswer : ProbeResult
}

/** Evidence that the process of an entry has ended. */
public sealed interface EndEvidence {
    /** The peer address refused connections on [REFUSALS_REQUIRED] consecutive probes. */
    public data object ConnectionsRefused : EndEvidence

    /** A newer incarnation of the same entry answered on the peer address. */
    public data class NewerIncarnation(public val identity: EntryIdentity) : EndEvidence
}

/**
 * Results of the probes of an entry's peer address so far.
 *
 * @property target the entry that is probed
 * @property refusals number of consecutive refused connections up to the last probe
 * @property newer newer incarnation of the entry that answered, if any
 */
public data class ProbeHistory(
    public val target: EntryIdentity,
    public val refusals: Int = 0,
    public val newer: EntryIdentity? = null,
) {
    /** Returns the history with one more probe. Any result but a refusal resets the number of refusals. */
    public fun after(result: ProbeResult): ProbeHistory =
        when (result) {
            is ProbeResult.ConnectionRefused -> copy(refusals = refusals + 1)
            is ProbeResult.NoAnswer -> copy(refusals = 0)
            is ProbeResult.Answered -> copy(refusals = 0, newer = newer ?: result.identity.takeIf(::isNewer))
        }

    /**
     * Returns the evidence that [target] has ended, or `null`. Timeouts are never evidence, because a network
     * partition looks the same.
     */
    public fun evidence(): EndEvidence? =
        when {
            newer != null -> EndEvidence.NewerIncarnation(newer)
            refusals >= REFUSALS_REQUIRED -> EndEvidence.ConnectionsRefused
            else -> null
        }

    private fun isNewer(identity: EntryIdentity): Boolean =
        identity.name == target.name && identity.incarnation > target.incarnation
}

/** Number of consecutive refusals that count as evidence; a single one may come from a listener that restarts. */
public const val REFUSALS_REQUIRED: Int = 2
