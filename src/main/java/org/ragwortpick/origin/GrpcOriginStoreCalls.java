package org.ragwortpick.origin;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.FindOriginReply;
import org.ragwortpick.proto.FindOriginRequest;
import org.ragwortpick.proto.RecordOriginsReply;
import org.ragwortpick.proto.RecordOriginsRequest;
import org.ragwortpick.proto.StreamOriginStoreGrpc;

/** {@link OriginStoreCalls} over gRPC. */
final class GrpcOriginStoreCalls implements OriginStoreCalls {

  /** The memory of the store replies, so that a longer wait only delays the next store. */
  private static final long RECORD_TIMEOUT_MS = 400;

  private final PeerChannels channels;
  private final Executor loop;

  /**
   * Creates the calls.
   *
   * @param channels channels to the other VMs
   * @param loop thread that is called back
   */
  GrpcOriginStoreCalls(PeerChannels channels, Executor loop) {
    this.channels = channels;
    this.loop = loop;
  }

  @Override
  public void record(HostPort store, List<OriginRecord> records, Consumer<Boolean> done) {
    ManagedChannel channel = channels.channel(store);
    RecordOriginsRequest request =
        RecordOriginsRequest.newBuilder().addAllVersions(OriginCodec.encode(records)).build();
    StreamOriginStoreGrpc.newStub(channel)
        .withDeadlineAfter(RECORD_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .record(
            request,
            new ReplyObserver<RecordOriginsReply>(
                store,
                channel,
                reply -> loop.execute(() -> done.accept(true)),
                () -> loop.execute(() -> done.accept(false))));
  }

  @Override
  public void find(HostPort store, OriginKey key, Consumer<OriginAnswer> answered) {
    ManagedChannel channel = channels.channel(store);
    StreamOriginStoreGrpc.newStub(channel)
        .withDeadlineAfter(OriginLookups.TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .find(
            FindOriginRequest.newBuilder().setKey(OriginCodec.encode(key)).build(),
            new ReplyObserver<FindOriginReply>(
                store,
                channel,
                reply -> loop.execute(() -> answered.accept(OriginCodec.decode(reply))),
                () -> loop.execute(() -> answered.accept(new OriginAnswer.Unknown()))));
  }

  /**
   * Receives the reply to a call. A failed call may discard its channel.
   *
   * @param <R> type of the reply
   */
  private final class ReplyObserver<R> implements StreamObserver<R> {

    private final HostPort store;
    private final ManagedChannel channel;
    private final Consumer<R> onReply;
    private final Runnable onFailure;

    private ReplyObserver(
        HostPort store, ManagedChannel channel, Consumer<R> onReply, Runnable onFailure) {
      this.store = store;
      this.channel = channel;
      this.onReply = onReply;
      this.onFailure = onFailure;
    }

    @Override
    public void onNext(R reply) {
      onReply.accept(reply);
    }

    @Override
    public void onError(Throwable error) {
      Status.Code code = Status.fromThrowable(error).getCode();
      if (code == Status.Code.DEADLINE_EXCEEDED) {
        channels.discard(store, channel);
      } else if (code == Status.Code.UNAVAILABLE) {
        // The connect backoff of a channel grows; a restarted store must be reached without it.
        channel.resetConnectBackoff();
      }
      onFailure.run();
    }

    @Override
    public void onCompleted() {
      // The single reply was handled in onNext.
    }
  }
}
