package dogwoodgrade.peer

import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.ProbeResult
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.flatMap
import dogwoodgrade.wire.PeerGrpcKt
import dogwoodgrade.wire.WireIdentifyRequest
import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Calls other entries over gRPC. Connections are kept per address and reused; after a failed call an address is left
 * alone for a pause that doubles with each failure.
 *
 * The lock guards only the maps of this class, is a leaf and is never held across a call.
 *
 * @param now current time, for the pauses
 */
public class GrpcPeerClient(
    private val settings: PeerSettings = PeerSettings(),
    private val now: () -> Instant,
) : AutoCloseable {
    private val eventLoops = newEventLoops()
    private val lock = ReentrantLock()

    /** In order of last use, so that the channel unused for longest is dropped first. */
    private val channels = LinkedHashMap<PeerAddress, ManagedChannel>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val backoffs = HashMap<PeerAddress, PeerBackoff>()

    /** The calls as a port. */
    public val port: PeerClient = PeerClient(::exchange, ::fetch, ::probe)

    /** Closes every connection. Running calls fail with `PeerUnreachable`. */
    override fun close() {
        lock.withLock {
            channels.values.forEach { it.shutdownNow() }
            channels.clear()
        }
        closeEventLoops(eventLoops)
    }

    private suspend fun exchange(address: PeerAddress, message: GossipMessage): Outcome<GossipMessage> =
        call(address, settings.exchangeDeadline, settings.gossipBytes) { it.exchange(encodeGossip(message)) }
            .flatMap(::decodeGossip)

    private suspend fun fetch(address: PeerAddress, request: FetchRequest): Outcome<FetchAnswer> =
        call(address, settings.fetchDeadline, settings.fetchBytes) { it.fetch(encodeFetchRequest(request)) }
            .flatMap(::decodeFetchAnswer)

    /** Uses a connection of its own: an existing one says nothing about the listener, and a channel caches failures. */
    private suspend fun probe(address: PeerAddress): ProbeResult {
        val channel = newChannelOrNull(address) ?: return ProbeResult.NoAnswer
        return try {
            val answer = stubOf(channel, settings.probeDeadline, settings.gossipBytes)
                .identify(WireIdentifyRequest.getDefaultInstance())
            decodeIdentityOrNull(answer)?.let(ProbeResult::Answered) ?: ProbeResult.NoAnswer
        } catch (fault: StatusException) {
            if (isConnectionRefused(fault)) ProbeResult.ConnectionRefused else ProbeResult.NoAnswer
        } finally {
            channel.shutdownNow()
        }
    }

    private suspend fun <Answer> call(
        address: PeerAddress,
        deadline: Duration,
        answerBytes: Int,
        send: suspend (PeerGrpcKt.PeerCoroutineStub) -> Answer,
    ): Outcome<Answer> {
        val backoff = lock.withLock { backoffs[address] }
        if (backoff != null && now() < backoff.until) {
            return Outcome.Failure(ResultCode.PeerUnreachable, "the last ${backoff.failures} calls to $address failed")
        }
        val channel =
            channelOrNull(address)
                ?: return Outcome.Failure(ResultCode.PeerUnreachable, "gRPC does not accept the address $address")
        return try {
            val answer = send(stubOf(channel, deadline, answerBytes))
            lock.withLock { backoffs.remove(address) }
            Outcome.Success(answer)
        } catch (fault: StatusException) {
            val failure = fault.toFailure()
            if (failure.code == ResultCode.PeerUnreachable) recordFailure(address, channel)
            failure
        }
    }

    private fun recordFailure(address: PeerAddress, channel: ManagedChannel) {
        lock.withLock {
            if (backoffs.size >= MAX_ADDRESSES) backoffs.clear()
            backoffs[address] = PeerBackoff.after(backoffs[address], now(), settings)
            // A new channel connects at once, while this one would wait up to two minutes by gRPC's own backoff.
            if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE && channels[address] === channel) {
                channels.remove(address)
                channel.shutdown()
            }
        }
    }

    private fun channelOrNull(address: PeerAddress): ManagedChannel? =
        lock.withLock {
            val channel = channels[address] ?: newChannelOrNull(address)?.also { channels[address] = it }
            if (channels.size > MAX_ADDRESSES) channels.remove(channels.keys.first())?.shutdown()
            channel
        }

    /** The address may come from another entry; a host that is no valid authority must not end the caller. */
    private fun newChannelOrNull(address: PeerAddress): ManagedChannel? =
        try {
            newChannel(address)
        } catch (fault: IllegalArgumentException) {
            null
        }

    private fun newChannel(address: PeerAddress): ManagedChannel =
        NettyChannelBuilder
            .forAddress(address.host, address.port)
            .usePlaintext()
            // Entries connect directly; gRPC would otherwise read proxy settings from the environment.
            .proxyDetector { null }
            .eventLoopGroup(eventLoops)
            .channelType(NioSocketChannel::class.java)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.exchangeDeadline.inWholeMilliseconds.toInt())
            .directExecutor()
            // Retries are decided by the callers.
            .disableRetry()
            .flowControlWindow(FLOW_CONTROL_BYTES)
            .idleTimeout(settings.idleAfter.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .build()

    private fun stubOf(channel: ManagedChannel, deadline: Duration, answerBytes: Int): PeerGrpcKt.PeerCoroutineStub =
        PeerGrpcKt
            .PeerCoroutineStub(channel)
            .withDeadlineAfter(deadline.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .withMaxInboundMessageSize(answerBytes)

    private companion object {
        /** Above the 72 entries that gossip is measured with. */
        const val MAX_ADDRESSES = 256
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}

/**
 * Only a reset by the peer's host counts. Netty reports timeouts and unreachable networks as kinds of
 * [ConnectException] too, and those are no evidence.
 */
private fun isConnectionRefused(fault: StatusException): Boolean =
    fault.status.code == Status.Code.UNAVAILABLE &&
        generateSequence(fault.status.cause) { it.cause }.any {
            it is ConnectException &&
                it !is ConnectTimeoutException &&
                it.message.orEmpty().contains("Connection refused")
        }
