package dogwoodgrade.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "dogwoodgrade.wire.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<dogwoodgrade.wire.WireGossip,
      dogwoodgrade.wire.WireGossip> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = dogwoodgrade.wire.WireGossip.class,
      responseType = dogwoodgrade.wire.WireGossip.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dogwoodgrade.wire.WireGossip,
      dogwoodgrade.wire.WireGossip> getExchangeMethod() {
    io.grpc.MethodDescriptor<dogwoodgrade.wire.WireGossip, dogwoodgrade.wire.WireGossip> getExchangeMethod;
    if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
          PeerGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<dogwoodgrade.wire.WireGossip, dogwoodgrade.wire.WireGossip>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dogwoodgrade.wire.WireGossip.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dogwoodgrade.wire.WireGossip.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dogwoodgrade.wire.WireFetchRequest,
      dogwoodgrade.wire.WireFetchAnswer> getFetchMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Fetch",
      requestType = dogwoodgrade.wire.WireFetchRequest.class,
      responseType = dogwoodgrade.wire.WireFetchAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dogwoodgrade.wire.WireFetchRequest,
      dogwoodgrade.wire.WireFetchAnswer> getFetchMethod() {
    io.grpc.MethodDescriptor<dogwoodgrade.wire.WireFetchRequest, dogwoodgrade.wire.WireFetchAnswer> getFetchMethod;
    if ((getFetchMethod = PeerGrpc.getFetchMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchMethod = PeerGrpc.getFetchMethod) == null) {
          PeerGrpc.getFetchMethod = getFetchMethod =
              io.grpc.MethodDescriptor.<dogwoodgrade.wire.WireFetchRequest, dogwoodgrade.wire.WireFetchAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Fetch"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dogwoodgrade.wire.WireFetchRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dogwoodgrade.wire.WireFetchAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Fetch"))
              .build();
        }
      }
    }
    return getFetchMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dogwoodgrade.wire.WireIdentifyRequest,
      dogwoodgrade.wire.WireIdentity> getIdentifyMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Identify",
      requestType = dogwoodgrade.wire.WireIdentifyRequest.class,
      responseType = dogwoodgrade.wire.WireIdentity.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dogwoodgrade.wire.WireIdentifyRequest,
      dogwoodgrade.wire.WireIdentity> getIdentifyMethod() {
    io.grpc.MethodDescriptor<dogwoodgrade.wire.WireIdentifyRequest, dogwoodgrade.wire.WireIdentity> getIdentifyMethod;
    if ((getIdentifyMethod = PeerGrpc.getIdentifyMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getIdentifyMethod = PeerGrpc.getIdentifyMethod) == null) {
          PeerGrpc.getIdentifyMethod = getIdentifyMethod =
              io.grpc.MethodDescriptor.<dogwoodgrade.wire.WireIdentifyRequest, dogwoodgrade.wire.WireIdentity>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Identify"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dogwoodgrade.wire.WireIdentifyRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dogwoodgrade.wire.WireIdentity.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Identify"))
              .build();
        }
      }
    }
    return getIdentifyMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * Exchanges gossip: the request pushes the sender's own state, the answer carries what the sender lacks.
     * </pre>
     */
    default void exchange(dogwoodgrade.wire.WireGossip request,
        io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireGossip> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns log records from an offset, or a snapshot when the records are no longer kept.
     * </pre>
     */
    default void fetch(dogwoodgrade.wire.WireFetchRequest request,
        io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireFetchAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the identity of the entry; used as evidence that an earlier incarnation has ended.
     * </pre>
     */
    default void identify(dogwoodgrade.wire.WireIdentifyRequest request,
        io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireIdentity> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getIdentifyMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges gossip: the request pushes the sender's own state, the answer carries what the sender lacks.
     * </pre>
     */
    public void exchange(dogwoodgrade.wire.WireGossip request,
        io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireGossip> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns log records from an offset, or a snapshot when the records are no longer kept.
     * </pre>
     */
    public void fetch(dogwoodgrade.wire.WireFetchRequest request,
        io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireFetchAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the identity of the entry; used as evidence that an earlier incarnation has ended.
     * </pre>
     */
    public void identify(dogwoodgrade.wire.WireIdentifyRequest request,
        io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireIdentity> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getIdentifyMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges gossip: the request pushes the sender's own state, the answer carries what the sender lacks.
     * </pre>
     */
    public dogwoodgrade.wire.WireGossip exchange(dogwoodgrade.wire.WireGossip request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns log records from an offset, or a snapshot when the records are no longer kept.
     * </pre>
     */
    public dogwoodgrade.wire.WireFetchAnswer fetch(dogwoodgrade.wire.WireFetchRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the identity of the entry; used as evidence that an earlier incarnation has ended.
     * </pre>
     */
    public dogwoodgrade.wire.WireIdentity identify(dogwoodgrade.wire.WireIdentifyRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getIdentifyMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges gossip: the request pushes the sender's own state, the answer carries what the sender lacks.
     * </pre>
     */
    public dogwoodgrade.wire.WireGossip exchange(dogwoodgrade.wire.WireGossip request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns log records from an offset, or a snapshot when the records are no longer kept.
     * </pre>
     */
    public dogwoodgrade.wire.WireFetchAnswer fetch(dogwoodgrade.wire.WireFetchRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the identity of the entry; used as evidence that an earlier incarnation has ended.
     * </pre>
     */
    public dogwoodgrade.wire.WireIdentity identify(dogwoodgrade.wire.WireIdentifyRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getIdentifyMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges gossip: the request pushes the sender's own state, the answer carries what the sender lacks.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dogwoodgrade.wire.WireGossip> exchange(
        dogwoodgrade.wire.WireGossip request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns log records from an offset, or a snapshot when the records are no longer kept.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dogwoodgrade.wire.WireFetchAnswer> fetch(
        dogwoodgrade.wire.WireFetchRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the identity of the entry; used as evidence that an earlier incarnation has ended.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dogwoodgrade.wire.WireIdentity> identify(
        dogwoodgrade.wire.WireIdentifyRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getIdentifyMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;
  private static final int METHODID_FETCH = 1;
  private static final int METHODID_IDENTIFY = 2;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          serviceImpl.exchange((dogwoodgrade.wire.WireGossip) request,
              (io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireGossip>) responseObserver);
          break;
        case METHODID_FETCH:
          serviceImpl.fetch((dogwoodgrade.wire.WireFetchRequest) request,
              (io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireFetchAnswer>) responseObserver);
          break;
        case METHODID_IDENTIFY:
          serviceImpl.identify((dogwoodgrade.wire.WireIdentifyRequest) request,
              (io.grpc.stub.StreamObserver<dogwoodgrade.wire.WireIdentity>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dogwoodgrade.wire.WireGossip,
              dogwoodgrade.wire.WireGossip>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getFetchMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dogwoodgrade.wire.WireFetchRequest,
              dogwoodgrade.wire.WireFetchAnswer>(
                service, METHODID_FETCH)))
        .addMethod(
          getIdentifyMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dogwoodgrade.wire.WireIdentifyRequest,
              dogwoodgrade.wire.WireIdentity>(
                service, METHODID_IDENTIFY)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return dogwoodgrade.wire.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getFetchMethod())
              .addMethod(getIdentifyMethod())
              .build();
        }
      }
    }
    return result;
  }
}
