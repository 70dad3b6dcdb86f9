package dogwoodgrade.peer

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.map
import dogwoodgrade.wire.PeerGrpcKt
import dogwoodgrade.wire.WireFetchAnswer
import dogwoodgrade.wire.WireFetchRequest
import dogwoodgrade.wire.WireGossip
import dogwoodgrade.wire.WireIdentifyRequest
import dogwoodgrade.wire.WireIdentity
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext

/**
 * gRPC server for other entries. The process keeps the listener open from before it admits the first request until its
 * last request has ended, because a refused connection is evidence that the process has ended.
 */
public class PeerServer internal constructor(
    private val server: Server,
    private val eventLoops: EventLoopGroup,
    private val calls: Job,
) : AutoCloseable {
    /** Port of the listener. */
    public val port: Int get() = server.port

    /**
     * Closes the listener and every connection. The event loops are closed last: a handler that is cancelled still
     * writes the end of its call, and would otherwise fail on a closed event loop.
     */
    override fun close() {
        server.shutdownNow()
        server.awaitTermination(SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        calls.cancel()
        runBlocking { withTimeoutOrNull(SHUTDOWN_TIMEOUT_MILLISECONDS) { calls.join() } }
        closeEventLoops(eventLoops)
    }
}

/**
 * Starts the server on [host] and [port] (0 picks a free one); [dispatcher] runs the [handlers].
 *
 * @return the server, or a failure with the code `AddressInUse`
 */
public fun startPeerServer(
    host: String,
    port: Int,
    handlers: PeerHandlers,
    dispatcher: CoroutineDispatcher,
    settings: PeerSettings = PeerSettings(),
): Outcome<PeerServer> {
    val eventLoops = newEventLoops()
    val calls = SupervisorJob()
    val server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(host, port))
            .bossEventLoopGroup(eventLoops)
            .workerEventLoopGroup(eventLoops)
            .channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .maxInboundMessageSize(settings.maximumGossipBytes)
            .maxConcurrentCallsPerConnection(settings.maximumCallsPerConnection)
            .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
            .addService(PeerService(handlers, dispatcher + calls, settings))
            .build()
    return try {
        Outcome.Success(PeerServer(server.start(), eventLoops, calls))
    } catch (fault: IOException) {
        closeEventLoops(eventLoops)
        Outcome.Failure(ResultCode.AddressInUse, "peer: cannot listen on $host:$port: ${fault.message}")
    }
}

private class PeerService(
    private val handlers: PeerHandlers,
    context: CoroutineContext,
    private val settings: PeerSettings,
) : PeerGrpcKt.PeerCoroutineImplBase(context) {
    override suspend fun exchange(request: WireGossip): WireGossip =
        decodeGossip(request).flatMap { handlers.exchange(it) }.map(::encodeGossip).orThrowStatus()

    override suspend fun fetch(request: WireFetchRequest): WireFetchAnswer =
        decodeFetchRequest(request, settings)
            .flatMap { bounded -> handlers.fetch(bounded).map { encodeFetchAnswer(it, bounded) } }
            .orThrowStatus()

    override suspend fun identify(request: WireIdentifyRequest): WireIdentity = encodeIdentity(handlers.identify())

    private fun <Value> Outcome<Value>.orThrowStatus(): Value =
        when (this) {
            is Outcome.Success -> value
            is Outcome.Failure -> throw toStatusException()
        }
}

/** Returns event loops with one thread, which is enough for a few messages per second. */
internal fun newEventLoops(): EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

internal fun closeEventLoops(eventLoops: EventLoopGroup) {
    eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
}

/** Receive window of a connection; keeps the buffers small compared with a heap of 128 MB. */
internal const val FLOW_CONTROL_WINDOW_BYTES: Int = 64 * 1024

internal const val SHUTDOWN_TIMEOUT_MILLISECONDS: Long = 1_000L
