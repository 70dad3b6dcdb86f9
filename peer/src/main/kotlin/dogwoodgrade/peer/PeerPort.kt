package dogwoodgrade.peer

import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.ProbeResult
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Outcome

/**
 * Calls to other entries. Every call ends within its deadline.
 *
 * A failure carries the result code of the peer's refusal, `PeerUnreachable` if the peer did not answer, or
 * `MalformedRecord` if its answer is malformed.
 */
public data class PeerClient(
    /** Exchanges gossip with the peer at the address. */
    public val exchange: suspend (PeerAddress, GossipMessage) -> Outcome<GossipMessage>,
    /** Fetches configuration from the peer at the address. */
    public val fetch: suspend (PeerAddress, FetchRequest) -> Outcome<FetchAnswer>,
    /** Opens a new connection to the address and asks for the identity of the entry. */
    public val probe: suspend (PeerAddress) -> ProbeResult,
)

/**
 * Handles the calls of other entries. The messages that it receives have been checked; a failure is returned to the
 * caller as a refusal with its result code.
 */
public data class PeerHandlers(
    public val exchange: suspend (GossipMessage) -> Outcome<GossipMessage>,
    public val fetch: suspend (FetchRequest) -> Outcome<FetchAnswer>,
    public val identify: suspend () -> EntryIdentity,
)
