package org.ragwortpick.batch;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.Executor;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.proto.BatchCollectorGrpc;
import org.ragwortpick.proto.ReleaseResultsReply;
import org.ragwortpick.proto.ReleaseResultsRequest;
import org.ragwortpick.proto.StageBacklog;
import org.ragwortpick.proto.SubmitPiecesReply;
import org.ragwortpick.proto.SubmitPiecesRequest;

/** gRPC service through which other VMs submit pieces and release results. */
final class BatchCollectorService extends BatchCollectorGrpc.BatchCollectorImplBase {

  private final StageCollectors collectors;
  private final QueueWaits waits;
  private final PathAdmission paths;
  private final Executor loop;
  private final Clock clock;

  /**
   * Creates the service.
   *
   * @param collectors collectors of the local VM
   * @param waits table of queue waits
   * @param paths estimates of the local VM
   * @param loop thread to which the collectors and the tables are confined
   * @param clock monotonic clock
   */
  BatchCollectorService(
      StageCollectors collectors,
      QueueWaits waits,
      PathAdmission paths,
      Executor loop,
      Clock clock) {
    this.collectors = collectors;
    this.waits = waits;
    this.paths = paths;
    this.loop = loop;
    this.clock = clock;
  }

  @Override
  public void submit(SubmitPiecesRequest request, StreamObserver<SubmitPiecesReply> observer) {
    ServerCallStreamObserver<SubmitPiecesReply> call =
        (ServerCallStreamObserver<SubmitPiecesReply>) observer;
    Cancellation cancellation = new Cancellation();
    // gRPC requires the handler to be set before this method returns. The work is submitted later,
    // on the loop, so a cancellation may arrive before it.
    call.setOnCancelHandler(() -> loop.execute(cancellation::cancel));
    loop.execute(
        () -> {
          BacklogCodec.decode(request.getBacklogsList(), clock.millis())
              .forEach(paths.backlogs()::put);
          cancellation.onSubmitted(
              collectors.submit(
                  BatchCodec.decode(request),
                  request.getViewAgeMs(),
                  end -> reply(call, request, end)));
        });
  }

  private void reply(
      ServerCallStreamObserver<SubmitPiecesReply> call,
      SubmitPiecesRequest request,
      SubmissionEnd end) {
    if (!call.isCancelled()) {
      String service = request.getService();
      int priority = request.getPriority();
      waits.put(service, priority, collectors.expectedWaitMs(service, priority));
      List<StageBacklog> backlogs =
          paths.isInForce()
              ? BacklogCodec.encode(collectors.backlogs(), clock.millis())
              : List.of();
      call.onNext(BatchCodec.encode(end, waits.recentWaits(), backlogs));
      call.onCompleted();
    }
  }

  @Override
  public void release(ReleaseResultsRequest request, StreamObserver<ReleaseResultsReply> observer) {
    if (request.getHandlesCount() > 0) {
      loop.execute(() -> collectors.release(request.getService(), request.getHandlesList()));
    }
    observer.onNext(ReleaseResultsReply.getDefaultInstance());
    observer.onCompleted();
  }

  /**
   * Cancels submitted work, even if the cancellation precedes the submission. Confined to the loop.
   */
  private static final class Cancellation {
    private Runnable cancelWork;
    private boolean cancelled;

    private void onSubmitted(Runnable cancelSubmitted) {
      cancelWork = cancelSubmitted;
      if (cancelled) {
        cancelWork.run();
      }
    }

    private void cancel() {
      cancelled = true;
      if (cancelWork != null) {
        cancelWork.run();
      }
    }
  }
}
