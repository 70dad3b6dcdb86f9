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
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Calls other entries over gRPC. Connections are kept per address and reused. After a failed call, calls to the address
 * fail immediately for a backoff time that doubles with each failure.
 *
 * The lock guards only the maps of this class. It is a leaf in the lock order of the entry process and is never held
 * during a call.
 *
 * @param now returns the current time, for the backoff
 */
public class GrpcPeerClient(
    private val settings: PeerSettings = PeerSettings(),
    private val now: () -> Instant,
) : AutoCloseable {
    private val eventLoops = newEventLoops()
    private val lock = ReentrantLock()

    /** Channels in the order of their last use, so that the least recently used one is dropped first. */
    private val channels = LinkedHashMap<PeerAddress, ManagedChannel>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val backoffs = HashMap<PeerAddress, PeerBackoff>()
    private val probes = HashSet<ManagedChannel>()
    private var closed = false

    /** The calls of this client. */
    public val port: PeerClient = PeerClient(::exchange, ::fetch, ::probe)

    /**
     * Closes every connection. Calls in progress and later ones fail with `PeerUnreachable`. The event loops are closed
     * last, so that the end of each call is still processed.
     */
    override fun close() {
        val open =
            lock.withLock {
                closed = true
                (channels.values + probes).also { channels.clear() }
            }
        open.forEach { it.shutdownNow() }
        open.forEach { it.awaitTermination(SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS) }
        closeEventLoops(eventLoops)
    }

    private suspend fun exchange(address: PeerAddress, message: GossipMessage): Outcome<GossipMessage> =
        call(address, settings.exchangeDeadline, settings.maximumGossipBytes) { it.exchange(encodeGossip(message)) }
            .flatMap(::decodeGossip)

    private suspend fun fetch(address: PeerAddress, request: FetchRequest): Outcome<FetchAnswer> =
        call(address, settings.fetchDeadline, settings.maximumFetchBytes) { it.fetch(encodeFetchRequest(request)) }
            .flatMap(::decodeFetchAnswer)

    /** Opens a new connection: an existing one says nothing about the listener, and a channel caches failures. */
    private suspend fun probe(address: PeerAddress): ProbeResult {
        val channel =
            lock.withLock { newChannelOrNull(address)?.also { probes += it } } ?: return ProbeResult.NoAnswer
        return try {
            val answer = stubOf(channel, settings.probeDeadline, settings.maximumGossipBytes)
                .identify(WireIdentifyRequest.getDefaultInstance())
            decodeIdentityOrNull(answer)?.let(ProbeResult::Answered) ?: ProbeResult.NoAnswer
        } catch (fault: StatusException) {
            if (isConnectionRefused(fault)) ProbeResult.ConnectionRefused else ProbeResult.NoAnswer
        } catch (fault: RejectedExecutionException) {
            ProbeResult.NoAnswer
        } finally {
            channel.shutdownNow()
            lock.withLock { probes -= channel }
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
        } catch (fault: RejectedExecutionException) {
            // Netty rejects a call that begins while this client closes its event loops.
            Outcome.Failure(ResultCode.PeerUnreachable, "the client is closed: ${fault.message}")
        }
    }

    private fun recordFailure(address: PeerAddress, channel: ManagedChannel) {
        lock.withLock {
            if (backoffs.size >= MAX_ADDRESSES) backoffs.clear()
            backoffs[address] = PeerBackoff.after(backoffs[address], now(), settings)
            // A new channel connects immediately; gRPC's own backoff would delay this one by up to two minutes.
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

    /**
     * Returns `null` if this client is closed, or if gRPC rejects the host, which may come from another entry and must
     * not make the caller fail. Called with the lock held.
     */
    private fun newChannelOrNull(address: PeerAddress): ManagedChannel? =
        try {
            if (closed) null else newChannel(address)
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
            .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
            .idleTimeout(settings.connectionIdleTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .build()

    private fun stubOf(channel: ManagedChannel, deadline: Duration, answerBytes: Int): PeerGrpcKt.PeerCoroutineStub =
        PeerGrpcKt
            .PeerCoroutineStub(channel)
            .withDeadlineAfter(deadline.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .withMaxInboundMessageSize(answerBytes)

    private companion object {
        /** Largest number of connections and of backoffs; above the 72 entries that `GossipCostTest` covers. */
        const val MAX_ADDRESSES = 256
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}

/**
 * Tells whether the peer's host refused the connection. Netty also reports timeouts and unreachable networks as
 * subclasses of [ConnectException]; those are no evidence that the process has ended.
 */
private fun isConnectionRefused(fault: StatusException): Boolean =
    fault.status.code == Status.Code.UNAVAILABLE &&
        generateSequence(fault.status.cause) { it.cause }.any {
            it is ConnectException &&
                it !is ConnectTimeoutException &&
                it.message.orEmpty().contains("Connection refused")
        }
