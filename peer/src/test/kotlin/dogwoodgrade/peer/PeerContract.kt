package dogwoodgrade.peer

import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.PeerCandidate
import dogwoodgrade.membership.ProbeResult
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.valueOrNull
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults that a peer under test simulates. */
internal enum class Fault { None, Silent, AnswersLost, Garbage, Refusing }

/**
 * A peer under test.
 *
 * @property addressFor returns the address at which the peer shows a fault
 * @property patientClient client with long deadlines, for calls that get an answer
 * @property impatientClient client with short deadlines, for calls that get none
 * @property advance moves the clock of the clients forward
 */
internal class PeerUnderTest(
    val addressFor: (Fault) -> PeerAddress,
    val patientClient: PeerClient,
    val impatientClient: PeerClient,
    val advance: (Duration) -> Unit,
    val close: () -> Unit,
)

/** Behaviour of the calls between entries under faults, which every implementation of [PeerClient] has to show. */
internal abstract class PeerContract {
    protected val settings: PeerSettings = PeerSettings()
    protected val shortDeadlineSettings: PeerSettings =
        settings.copy(
            exchangeDeadline = 250.milliseconds,
            fetchDeadline = 250.milliseconds,
            probeDeadline = 250.milliseconds,
        )

    @Volatile
    private var fault = Fault.None
    private val remote = introduction("entry-b", PeerAddress("127.0.0.1", 2))
    private val remoteTable = MemberTable(remote, emptyList())
    private lateinit var local: MemberTable

    protected abstract fun start(handlers: PeerHandlers): PeerUnderTest

    private suspend fun <Value> withFault(answer: suspend () -> Value): Value {
        if (fault == Fault.Silent) awaitCancellation()
        val value = answer()
        if (fault == Fault.AnswersLost) awaitCancellation()
        return value
    }

    private fun withPeer(block: suspend (PeerUnderTest) -> Unit) {
        val healthyHandlers = handlersOf(remoteTable, remote.identity)
        val peer =
            start(
                PeerHandlers(
                    exchange = { withFault { healthyHandlers.exchange(it) } },
                    fetch = { withFault { healthyHandlers.fetch(it) } },
                    identify = { withFault { healthyHandlers.identify() } },
                ),
            )
        val seed = PeerCandidate(peer.addressFor(Fault.None), null, false)
        local = MemberTable(introduction("entry-a", PeerAddress("127.0.0.1", 1)), listOf(seed))
        try {
            runTest { block(peer) }
        } finally {
            peer.close()
        }
    }

    private fun nextMessage(running: Int): GossipMessage {
        local.tick(START_TIME, report(running))
        remoteTable.tick(START_TIME, report(running))
        return checkNotNull(local.requestTo(START_TIME, local.planGossip(START_TIME).first()))
    }

    private suspend fun gossip(client: PeerClient, peer: PeerUnderTest, running: Int): Outcome<GossipMessage> {
        val address = peer.addressFor(fault)
        val answer = client.exchange(address, nextMessage(running))
        answer.valueOrNull()?.let { local.acceptAnswer(START_TIME, address, it) }
        return answer
    }

    private fun seenHeartbeats() =
        listOf(remoteTable, local).map { table -> table.members(START_TIME).singleOrNull()?.heartbeat }

    /** Guards against a mapping or transport that loses part of a message. */
    @Test
    fun `state, records, snapshots and identity arrive`() =
        withPeer { peer ->
            val address = peer.addressFor(Fault.None)
            assertNotNull(gossip(peer.patientClient, peer, 3).valueOrNull())
            assertEquals(listOf<Long?>(1, 1), seenHeartbeats())
            assertEquals(listOf(3), local.peerLoad(START_TIME).values.toList())
            val answer = assertNotNull(peer.patientClient.fetch(address, FetchRequest(Offset(12), 4, 3)).valueOrNull())
            assertEquals(SAMPLE_CONTACT, answer.contact)
            val records = assertIs<FetchContent.Records>(answer.content).records
            assertEquals(listOf(12, 13, 14), records.map { it.single().toInt() })
            val old = assertNotNull(peer.patientClient.fetch(address, FetchRequest(Offset(9), 4, 3)).valueOrNull())
            assertContentEquals(byteArrayOf(1, 2), assertIs<FetchContent.Snapshot>(old.content).state)
            assertEquals(ProbeResult.Answered(remote.identity), peer.patientClient.probe(address))
        }

    /** Guards against a call that never ends, and against silence that counts as evidence of an ended process. */
    @Test
    fun `a silent peer is unreachable within the deadline and gives no evidence`() =
        withPeer { peer ->
            fault = Fault.Silent
            val address = peer.addressFor(fault)
            assertEquals(ResultCode.PeerUnreachable, gossip(peer.impatientClient, peer, 1).failureOrNull()?.code)
            assertEquals(ProbeResult.NoAnswer, peer.impatientClient.probe(address))
            assertEquals(listOf<Long?>(null, null), seenHeartbeats())
        }

    /** Guards against a peer that stays unreachable after its process was paused and has resumed. */
    @Test
    fun `a peer that was paused is reached again`() =
        withPeer { peer ->
            fault = Fault.Silent
            repeat(3) {
                gossip(peer.impatientClient, peer, 1)
                peer.advance(1.seconds)
            }
            fault = Fault.None
            assertNotNull(
                (1..20).firstNotNullOfOrNull {
                    peer.advance(1.seconds)
                    gossip(peer.impatientClient, peer, 1).valueOrNull()
                },
            )
        }

    /** Guards against state that is lost, or counted as acknowledged, when requests arrive but answers are lost. */
    @Test
    fun `when answers are lost the peer still learns and the requester repeats its state`() =
        withPeer { peer ->
            fault = Fault.AnswersLost
            repeat(3) {
                gossip(peer.impatientClient, peer, 1)
                peer.advance(2.seconds)
            }
            assertNotNull(seenHeartbeats().first())
            assertEquals(null, seenHeartbeats().last())
            fault = Fault.None
            assertNotNull(nextMessage(2).members.single().introduction)
            assertNotNull(gossip(peer.patientClient, peer, 2).valueOrNull())
            assertNotNull(seenHeartbeats().last())
        }

    /** Guards against a replayed message that replaces newer state by older. */
    @Test
    fun `an old message from a peer changes nothing`() =
        withPeer { peer ->
            val old = assertNotNull(gossip(peer.patientClient, peer, 3).valueOrNull())
            gossip(peer.patientClient, peer, 4)
            local.acceptAnswer(START_TIME, peer.addressFor(fault), old)
            assertEquals(2, seenHeartbeats().last())
            assertEquals(listOf(4), local.peerLoad(START_TIME).values.toList())
        }

    /** Guards against a malformed answer that makes the caller fail or is used in part. */
    @Test
    fun `a malformed answer is a failure with a result code and gives no evidence`() =
        withPeer { peer ->
            fault = Fault.Garbage
            val code = gossip(peer.patientClient, peer, 1).failureOrNull()?.code
            assertEquals(true, code in setOf(ResultCode.MalformedRecord, ResultCode.PeerUnreachable), "$code")
            assertEquals(ProbeResult.NoAnswer, peer.patientClient.probe(peer.addressFor(fault)))
            assertEquals(null, seenHeartbeats().last())
        }

    /** Guards against an ended process that is not recognized, and against calls to it without backoff. */
    @Test
    fun `a closed listener refuses probes and calls back off`() =
        withPeer { peer ->
            fault = Fault.Refusing
            val address = peer.addressFor(fault)
            repeat(2) { assertEquals(ProbeResult.ConnectionRefused, peer.patientClient.probe(address)) }
            repeat(2) {
                assertEquals(ResultCode.PeerUnreachable, gossip(peer.patientClient, peer, 1).failureOrNull()?.code)
            }
        }
}
