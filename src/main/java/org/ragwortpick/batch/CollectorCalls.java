package org.ragwortpick.batch;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.proto.BatchCollectorGrpc;
import org.ragwortpick.proto.ReleaseResultsReply;
import org.ragwortpick.proto.ReleaseResultsRequest;
import org.ragwortpick.proto.SubmitPiecesReply;
import org.ragwortpick.proto.SubmitPiecesRequest;

/**
 * Calls to the collector on another VM. Confined to one thread.
 *
 * <p>A reply may take as long as the queue of the collector, so a failed collector is detected by a
 * probe: a collector with outstanding replies that has sent nothing for a while must reply to an
 * empty call.
 */
final class CollectorCalls {

  private static final Logger LOG = Logger.getLogger(CollectorCalls.class);

  /** Time without a message after which a collector with outstanding replies is probed. */
  private static final long PROBE_AFTER_MS = 500;

  /** Timeout of probes and releases, to which a collector replies without queueing them. */
  private static final long UNQUEUED_CALL_TIMEOUT_MS = 400;

  private final HostPort collector;
  private final PeerChannels channels;
  private final LongSupplier viewAgeMs;
  private final QueueWaits waits;
  private final PathAdmission paths;
  private final Executor loop;
  private final Timers timers;
  private final Clock clock;
  private final Set<CollectorCallListener> pending = new HashSet<>();
  private long lastMessageAtMs;
  private boolean probeScheduled;

  /**
   * Creates an instance without outstanding calls.
   *
   * @param collector peer address of the collector
   * @param channels channels to other VMs
   * @param viewAgeMs age of the local VM's view of the upstreams in milliseconds
   * @param waits receives the queue waits that the collector states
   * @param paths gives the backlogs to pass on and receives those that the collector states
   * @param loop thread to which this object is confined
   * @param timers timers on that thread
   * @param clock monotonic clock
   */
  CollectorCalls(
      HostPort collector,
      PeerChannels channels,
      LongSupplier viewAgeMs,
      QueueWaits waits,
      PathAdmission paths,
      Executor loop,
      Timers timers,
      Clock clock) {
    this.collector = collector;
    this.channels = channels;
    this.viewAgeMs = viewAgeMs;
    this.waits = waits;
    this.paths = paths;
    this.loop = loop;
    this.timers = timers;
    this.clock = clock;
  }

  /**
   * Releases results that are no longer needed; without a reply they expire.
   *
   * @param channel channel to the collector
   * @param collector peer address of the collector
   * @param service service whose upstreams hold the results
   * @param handles handles of the results
   */
  static void release(
      ManagedChannel channel, HostPort collector, String service, List<String> handles) {
    BatchCollectorGrpc.newStub(channel)
        .withDeadlineAfter(UNQUEUED_CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .release(
            ReleaseResultsRequest.newBuilder().setService(service).addAllHandles(handles).build(),
            new ReleaseObserver(
                () -> {},
                status ->
                    LOG.debugf(
                        "results of service %s not released at collector %s (%s); they will expire",
                        service, collector, status)));
  }

  /**
   * Sends work to the collector.
   *
   * @param work the work
   * @param listener receives the outcome
   */
  void send(StageWork work, CollectorCallListener listener) {
    if (pending.isEmpty()) {
      lastMessageAtMs = clock.millis();
    }
    pending.add(listener);
    ManagedChannel channel = channels.channel(collector);
    SubmitObserver observer = new SubmitObserver(listener, channel);
    listener.onStarted(
        () -> {
          pending.remove(listener);
          observer.cancel();
        });
    BatchCollectorGrpc.newStub(channel)
        .withDeadlineAfter(work.remainingMs(), TimeUnit.MILLISECONDS)
        .submit(
            BatchCodec.encode(work, viewAgeMs.getAsLong(), paths.backlogs(), clock.millis()),
            observer);
    scheduleProbe(PROBE_AFTER_MS);
  }

  private void scheduleProbe(long delayMs) {
    if (!probeScheduled) {
      probeScheduled = true;
      timers.schedule(delayMs, this::probeIfSilent);
    }
  }

  private void probeIfSilent() {
    probeScheduled = false;
    long silentMs = clock.millis() - lastMessageAtMs;
    if (pending.isEmpty()) {
      return;
    }
    if (silentMs < PROBE_AFTER_MS) {
      scheduleProbe(PROBE_AFTER_MS - silentMs);
      return;
    }
    ManagedChannel channel = channels.channel(collector);
    BatchCollectorGrpc.newStub(channel)
        .withDeadlineAfter(UNQUEUED_CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .release(
            ReleaseResultsRequest.getDefaultInstance(),
            new ReleaseObserver(
                () -> loop.execute(this::onProbeReply),
                status -> loop.execute(() -> onProbeFailure(channel, status))));
  }

  private void onProbeReply() {
    lastMessageAtMs = clock.millis();
    if (!pending.isEmpty()) {
      scheduleProbe(PROBE_AFTER_MS);
    }
  }

  private void onProbeFailure(ManagedChannel channel, Status status) {
    LOG.warnf("collector %s does not answer a probe (%s)", collector, status);
    channels.discard(collector, channel);
    Set<CollectorCallListener> affected = new HashSet<>(pending);
    pending.clear();
    affected.forEach(
        listener -> listener.onCollectorFailed("the collector did not reply to a probe"));
  }

  private void onReply(CollectorCallListener listener, SubmitPiecesReply reply) {
    lastMessageAtMs = clock.millis();
    waits.merge(reply.getWaitsList());
    BacklogCodec.decode(reply.getBacklogsList(), clock.millis()).forEach(paths.backlogs()::put);
    if (pending.remove(listener)) {
      listener.onReply(BatchCodec.decode(reply));
    }
  }

  private void onFailure(CollectorCallListener listener, Status status) {
    if (!pending.remove(listener)) {
      return;
    }
    if (status.getCode() == Status.Code.DEADLINE_EXCEEDED) {
      listener.onReply(new SubmissionEnd.Failed(SubmissionEnd.Cause.LATE, 0));
    } else {
      listener.onCollectorFailed(status.toString());
    }
  }

  /** Receives the reply to submitted work. */
  private final class SubmitObserver
      implements ClientResponseObserver<SubmitPiecesRequest, SubmitPiecesReply> {

    private final CollectorCallListener listener;
    private final ManagedChannel channel;
    private ClientCallStreamObserver<SubmitPiecesRequest> call;

    private SubmitObserver(CollectorCallListener listener, ManagedChannel channel) {
      this.listener = listener;
      this.channel = channel;
    }

    private void cancel() {
      call.cancel("the request has ended", null);
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<SubmitPiecesRequest> stream) {
      call = stream;
    }

    @Override
    public void onNext(SubmitPiecesReply reply) {
      loop.execute(() -> onReply(listener, reply));
    }

    @Override
    public void onError(Throwable error) {
      Status status = Status.fromThrowable(error);
      // The reconnect backoff of a channel grows; a restarted VM must be reached without that
      // delay.
      if (status.getCode() == Status.Code.UNAVAILABLE) {
        channel.resetConnectBackoff();
      }
      loop.execute(() -> onFailure(listener, status));
    }

    @Override
    public void onCompleted() {
      // The single reply was handled in onNext.
    }
  }

  /**
   * Receives the reply to a release or probe.
   *
   * @param onReply runs after a reply
   * @param onFailure receives the status of a failure
   */
  private record ReleaseObserver(Runnable onReply, Consumer<Status> onFailure)
      implements StreamObserver<ReleaseResultsReply> {

    @Override
    public void onNext(ReleaseResultsReply reply) {
      onReply.run();
    }

    @Override
    public void onError(Throwable error) {
      onFailure.accept(Status.fromThrowable(error));
    }

    @Override
    public void onCompleted() {
      // The single reply was handled in onNext.
    }
  }
}
