package dogwoodgrade.peer

import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.ProbeResult
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Outcome

/**
 * Calls to other entries. Every call ends within its deadline.
 *
 * A failure carries the code that the peer refused with, `PeerUnreachable` when the peer gave no answer, or
 * `MalformedRecord` when its answer cannot be read.
 */
public data class PeerClient(
    /** Exchanges gossip with the peer at the address. */
    public val exchange: suspend (PeerAddress, GossipMessage) -> Outcome<GossipMessage>,
    /** Fetches configuration from the peer at the address. */
    public val fetch: suspend (PeerAddress, FetchRequest) -> Outcome<FetchAnswer>,
    /** Opens a new connection to the address and asks who is there. */
    public val probe: suspend (PeerAddress) -> ProbeResult,
)

/** Answers to the calls of other entries. The messages are valid; a failure becomes a numbered refusal. */
public data class PeerHandlers(
    public val exchange: suspend (GossipMessage) -> Outcome<GossipMessage>,
    public val fetch: suspend (FetchRequest) -> Outcome<FetchAnswer>,
    public val identify: suspend () -> EntryIdentity,
)
