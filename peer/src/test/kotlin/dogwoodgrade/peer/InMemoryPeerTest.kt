package dogwoodgrade.peer

import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.ProbeResult
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.map
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Runs the contract in memory. Every message is encoded and decoded, so that the mapping is the same as over gRPC. */
internal class InMemoryPeerTest : PeerContract() {
    private val garbageAddress = PeerAddress("127.0.0.1", Fault.Garbage.ordinal + 100)
    private val refusingAddress = PeerAddress("127.0.0.1", Fault.Refusing.ordinal + 100)
    private val unreachable = Outcome.Failure(ResultCode.PeerUnreachable, "the peer gave no answer")

    private suspend fun <Value> within(
        deadline: Duration,
        address: PeerAddress,
        call: suspend () -> Outcome<Value>,
    ): Outcome<Value> =
        if (address == refusingAddress) unreachable else withTimeoutOrNull(deadline) { call() } ?: unreachable

    private fun client(handlers: PeerHandlers, settings: PeerSettings): PeerClient =
        PeerClient(
            exchange = { address, message ->
                within(settings.exchangeDeadline, address) {
                    decodeGossip(encodeGossip(message).toByteArray())
                        .flatMap { handlers.exchange(it) }
                        .map { encodeGossip(it).toByteArray() }
                        .flatMap { decodeGossip(if (address == garbageAddress) it.copyOf(it.size - 1) else it) }
                }
            },
            fetch = { address, request ->
                within(settings.fetchDeadline, address) {
                    decodeFetchRequest(encodeFetchRequest(request), settings).flatMap { bounded ->
                        handlers.fetch(bounded).flatMap { decodeFetchAnswer(encodeFetchAnswer(it, bounded)) }
                    }
                }
            },
            probe = { address ->
                when (address) {
                    refusingAddress -> ProbeResult.ConnectionRefused
                    garbageAddress -> ProbeResult.NoAnswer
                    else -> withTimeoutOrNull(settings.probeDeadline) { handlers.identify() }
                        ?.let(ProbeResult::Answered) ?: ProbeResult.NoAnswer
                }
            },
        )

    override fun start(handlers: PeerHandlers): PeerUnderTest =
        PeerUnderTest(
            addressFor = { PeerAddress("127.0.0.1", it.ordinal + 100) },
            patientClient = client(handlers, settings),
            impatientClient = client(handlers, shortDeadlineSettings),
            advance = {},
            close = {},
        )
}
