package dogwoodgrade.wire

import dogwoodgrade.wire.PeerGrpc.getServiceDescriptor
import io.grpc.CallOptions
import io.grpc.CallOptions.DEFAULT
import io.grpc.Channel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.ServerServiceDefinition
import io.grpc.ServerServiceDefinition.builder
import io.grpc.ServiceDescriptor
import io.grpc.Status.UNIMPLEMENTED
import io.grpc.StatusException
import io.grpc.kotlin.AbstractCoroutineServerImpl
import io.grpc.kotlin.AbstractCoroutineStub
import io.grpc.kotlin.ClientCalls.unaryRpc
import io.grpc.kotlin.ServerCalls.unaryServerMethodDefinition
import io.grpc.kotlin.StubFor
import kotlin.String
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.jvm.JvmOverloads
import kotlin.jvm.JvmStatic

/**
 * Holder for Kotlin coroutine-based client and server APIs for dogwoodgrade.wire.Peer.
 */
public object PeerGrpcKt {
  public const val SERVICE_NAME: String = PeerGrpc.SERVICE_NAME

  @JvmStatic
  public val serviceDescriptor: ServiceDescriptor
    get() = getServiceDescriptor()

  public val exchangeMethod: MethodDescriptor<WireGossip, WireGossip>
    @JvmStatic
    get() = PeerGrpc.getExchangeMethod()

  public val fetchMethod: MethodDescriptor<WireFetchRequest, WireFetchAnswer>
    @JvmStatic
    get() = PeerGrpc.getFetchMethod()

  public val identifyMethod: MethodDescriptor<WireIdentifyRequest, WireIdentity>
    @JvmStatic
    get() = PeerGrpc.getIdentifyMethod()

  /**
   * A stub for issuing RPCs to a(n) dogwoodgrade.wire.Peer service as suspending coroutines.
   */
  @StubFor(PeerGrpc::class)
  public class PeerCoroutineStub @JvmOverloads constructor(
    channel: Channel,
    callOptions: CallOptions = DEFAULT,
  ) : AbstractCoroutineStub<PeerCoroutineStub>(channel, callOptions) {
    override fun build(channel: Channel, callOptions: CallOptions): PeerCoroutineStub =
        PeerCoroutineStub(channel, callOptions)

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a
     * corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun exchange(request: WireGossip, headers: Metadata = Metadata()): WireGossip =
        unaryRpc(
      channel,
      PeerGrpc.getExchangeMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a
     * corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun fetch(request: WireFetchRequest, headers: Metadata = Metadata()):
        WireFetchAnswer = unaryRpc(
      channel,
      PeerGrpc.getFetchMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a
     * corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun identify(request: WireIdentifyRequest, headers: Metadata = Metadata()):
        WireIdentity = unaryRpc(
      channel,
      PeerGrpc.getIdentifyMethod(),
      request,
      callOptions,
      headers
    )
  }

  /**
   * Skeletal implementation of the dogwoodgrade.wire.Peer service based on Kotlin coroutines.
   */
  public abstract class PeerCoroutineImplBase(
    coroutineContext: CoroutineContext = EmptyCoroutineContext,
  ) : AbstractCoroutineServerImpl(coroutineContext) {
    /**
     * Returns the response to an RPC for dogwoodgrade.wire.Peer.Exchange.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException],
     * the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun exchange(request: WireGossip): WireGossip = throw
        StatusException(UNIMPLEMENTED.withDescription("Method dogwoodgrade.wire.Peer.Exchange is unimplemented"))

    /**
     * Returns the response to an RPC for dogwoodgrade.wire.Peer.Fetch.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException],
     * the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun fetch(request: WireFetchRequest): WireFetchAnswer = throw
        StatusException(UNIMPLEMENTED.withDescription("Method dogwoodgrade.wire.Peer.Fetch is unimplemented"))

    /**
     * Returns the response to an RPC for dogwoodgrade.wire.Peer.Identify.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException],
     * the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun identify(request: WireIdentifyRequest): WireIdentity = throw
        StatusException(UNIMPLEMENTED.withDescription("Method dogwoodgrade.wire.Peer.Identify is unimplemented"))

    final override fun bindService(): ServerServiceDefinition = builder(getServiceDescriptor())
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = PeerGrpc.getExchangeMethod(),
      implementation = ::exchange
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = PeerGrpc.getFetchMethod(),
      implementation = ::fetch
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = PeerGrpc.getIdentifyMethod(),
      implementation = ::identify
    )).build()
  }
}
