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

/** Faults of a peer. */
internal enum class Fault { None, Silent, AnswersLost, Garbage, Refusing }

/** A peer under test; [patient] has long deadlines for calls that succeed, [hasty] short ones for those that do not. */
internal class PeerUnderTest(
    val addressFor: (Fault) -> PeerAddress,
    val patient: PeerClient,
    val hasty: PeerClient,
    val advance: (Duration) -> Unit,
    val close: () -> Unit,
)

/** Fault table of the interface between entries; every implementation of [PeerClient] has to pass it. */
internal abstract class PeerContract {
    protected val settings: PeerSettings = PeerSettings()
    protected val hastySettings: PeerSettings =
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

    private suspend fun <Value> faulty(answer: suspend () -> Value): Value {
        if (fault == Fault.Silent) awaitCancellation()
        val value = answer()
        if (fault == Fault.AnswersLost) awaitCancellation()
        return value
    }

    private fun check(block: suspend (PeerUnderTest) -> Unit) {
        val sound = handlersOf(remoteTable, remote.identity)
        val peer =
            start(
                PeerHandlers(
                    exchange = { faulty { sound.exchange(it) } },
                    fetch = { faulty { sound.fetch(it) } },
                    identify = { faulty { sound.identify() } },
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
        local.tick(Start, report(running))
        remoteTable.tick(Start, report(running))
        return checkNotNull(local.requestTo(Start, local.planGossip(Start).first()))
    }

    private suspend fun gossip(client: PeerClient, peer: PeerUnderTest, running: Int): Outcome<GossipMessage> {
        val address = peer.addressFor(fault)
        val answer = client.exchange(address, nextMessage(running))
        answer.valueOrNull()?.let { local.acceptAnswer(Start, address, it) }
        return answer
    }

    private fun heartbeatsSeen() =
        listOf(remoteTable, local).map { table -> table.members(Start).singleOrNull()?.heartbeat }

    /** Guards against a mapping or transport that loses a part of a message. */
    @Test
    fun `state, records, snapshots and identity arrive`() =
        check { peer ->
            val address = peer.addressFor(Fault.None)
            assertNotNull(gossip(peer.patient, peer, 3).valueOrNull())
            assertEquals(listOf<Long?>(1, 1), heartbeatsSeen())
            assertEquals(listOf(3), local.peerLoad(Start).values.toList())
            val answer = assertNotNull(peer.patient.fetch(address, FetchRequest(Offset(12), 4, 3)).valueOrNull())
            assertEquals(Contact, answer.contact)
            val records = assertIs<FetchContent.Records>(answer.content).records
            assertEquals(listOf(12, 13, 14), records.map { it.single().toInt() })
            val old = assertNotNull(peer.patient.fetch(address, FetchRequest(Offset(9), 4, 3)).valueOrNull())
            assertContentEquals(byteArrayOf(1, 2), assertIs<FetchContent.Snapshot>(old.content).state)
            assertEquals(ProbeResult.Answered(remote.identity), peer.patient.probe(address))
        }

    /** Guards against a call that never ends, and against silence taken as evidence. */
    @Test
    fun `a silent peer is unreachable within the deadline and is no evidence`() =
        check { peer ->
            fault = Fault.Silent
            val address = peer.addressFor(fault)
            assertEquals(ResultCode.PeerUnreachable, gossip(peer.hasty, peer, 1).failureOrNull()?.code)
            assertEquals(ProbeResult.NoAnswer, peer.hasty.probe(address))
            assertEquals(listOf<Long?>(null, null), heartbeatsSeen())
        }

    /** Guards against a peer that stays unreachable after it was paused. */
    @Test
    fun `a peer that was paused is reached again`() =
        check { peer ->
            fault = Fault.Silent
            repeat(3) {
                gossip(peer.hasty, peer, 1)
                peer.advance(1.seconds)
            }
            fault = Fault.None
            assertNotNull(
                (1..20).firstNotNullOfOrNull {
                    peer.advance(1.seconds)
                    gossip(peer.hasty, peer, 1).valueOrNull()
                },
            )
        }

    /** Guards against state that is lost, or counted as acknowledged, when only one direction works. */
    @Test
    fun `when only requests arrive the peer learns and the requester repeats`() =
        check { peer ->
            fault = Fault.AnswersLost
            repeat(3) {
                gossip(peer.hasty, peer, 1)
                peer.advance(2.seconds)
            }
            assertNotNull(heartbeatsSeen().first())
            assertEquals(null, heartbeatsSeen().last())
            fault = Fault.None
            assertNotNull(nextMessage(2).members.single().introduction)
            assertNotNull(gossip(peer.patient, peer, 2).valueOrNull())
            assertNotNull(heartbeatsSeen().last())
        }

    /** Guards against a replayed message that takes the state back (G12). */
    @Test
    fun `old state from a peer changes nothing`() =
        check { peer ->
            val old = assertNotNull(gossip(peer.patient, peer, 3).valueOrNull())
            gossip(peer.patient, peer, 4)
            local.acceptAnswer(Start, peer.addressFor(fault), old)
            assertEquals(2, heartbeatsSeen().last())
            assertEquals(listOf(4), local.peerLoad(Start).values.toList())
        }

    /** Guards against a crash, or against a part of a broken answer that is used. */
    @Test
    fun `garbage is a numbered refusal and no evidence`() =
        check { peer ->
            fault = Fault.Garbage
            val code = gossip(peer.patient, peer, 1).failureOrNull()?.code
            assertEquals(true, code in setOf(ResultCode.MalformedRecord, ResultCode.PeerUnreachable), "$code")
            assertEquals(ProbeResult.NoAnswer, peer.patient.probe(peer.addressFor(fault)))
            assertEquals(null, heartbeatsSeen().last())
        }

    /** Guards against an ended process that is never recognized, and against calls to it without a pause. */
    @Test
    fun `a closed listener refuses probes and calls pause`() =
        check { peer ->
            fault = Fault.Refusing
            val address = peer.addressFor(fault)
            repeat(2) { assertEquals(ProbeResult.ConnectionRefused, peer.patient.probe(address)) }
            repeat(2) { assertEquals(ResultCode.PeerUnreachable, gossip(peer.patient, peer, 1).failureOrNull()?.code) }
        }
}
