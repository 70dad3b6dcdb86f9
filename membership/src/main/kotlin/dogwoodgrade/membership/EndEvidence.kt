package dogwoodgrade.membership

import dogwoodgrade.model.EntryIdentity

/** What a probe of a peer address observed. */
public sealed interface ProbeResult {
    /** The host actively refused the connection. */
    public data object ConnectionRefused : ProbeResult

    /** An entry answered and stated its identity. */
    public data class Answered(public val identity: EntryIdentity) : ProbeResult

    /** Anything else: a timeout, silence, an unreachable network or an answer that cannot be read. */
    public data object NoAnswer : ProbeResult
}

/** Evidence that the process of an entry has ended. */
public sealed interface EndEvidence {
    /** The peer address refused connections on [REFUSALS_REQUIRED] consecutive probes. */
    public data object ConnectionsRefused : EndEvidence

    /** A newer incarnation of the same entry answered on the peer address. */
    public data class NewerIncarnation(public val identity: EntryIdentity) : EndEvidence
}

/** Probes of the peer address of [target] so far. */
public data class ProbeHistory(
    public val target: EntryIdentity,
    public val refusals: Int = 0,
    public val newer: EntryIdentity? = null,
) {
    /** Returns the history with one more probe. Anything but a refusal breaks a row of refusals. */
    public fun after(result: ProbeResult): ProbeHistory =
        when (result) {
            is ProbeResult.ConnectionRefused -> copy(refusals = refusals + 1)
            is ProbeResult.NoAnswer -> copy(refusals = 0)
            is ProbeResult.Answered -> copy(refusals = 0, newer = newer ?: result.identity.takeIf(::isNewer))
        }

    /** Returns the evidence, or `null`. Timeouts and silence are never evidence; a partition looks the same. */
    public fun evidence(): EndEvidence? =
        when {
            newer != null -> EndEvidence.NewerIncarnation(newer)
            refusals >= REFUSALS_REQUIRED -> EndEvidence.ConnectionsRefused
            else -> null
        }

    private fun isNewer(identity: EntryIdentity): Boolean =
        identity.name == target.name && identity.incarnation > target.incarnation
}

/** One refusal may come from a host that is just restarting its listener; two in a row are required. */
public const val REFUSALS_REQUIRED: Int = 2
