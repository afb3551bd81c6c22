package org.ragwortpick.batch;

import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.admission.PathEstimate;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.ServedShares;
import org.ragwortpick.policy.admission.StageBacklog;
import org.ragwortpick.routing.BatchProfile;

/**
 * Decides which work the collector of a service refuses, on arrival or in its queue, and in which
 * order it serves the rest. Free of I/O; confined to the thread of the collector.
 */
final class StageAdmission {

  /** Minimum time between two passes that look for queued work to refuse. */
  private static final long SHED_INTERVAL_MS = 50;

  /** Age from which the published backlog is measured again when work arrives. */
  private static final long PUBLISH_INTERVAL_MS = 10;

  private final String service;
  private final PieceQueue queue;
  private final CallTrackers trackers;
  private final PathAdmission paths;
  private final Clock clock;
  private final ServedShares admitted;
  private final ServedShares served;
  private final PieceOrder targetOrder = new TargetOrder();
  private final PieceOrder fairOrder;
  private long shedAtMs = Long.MIN_VALUE / 2;
  private long publishedAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the decisions of one collector.
   *
   * @param service name of the service
   * @param queue queue of the collector
   * @param trackers trackers of its upstreams
   * @param paths estimates of the local VM
   * @param clock monotonic clock
   */
  StageAdmission(
      String service, PieceQueue queue, CallTrackers trackers, PathAdmission paths, Clock clock) {
    this.service = service;
    this.queue = queue;
    this.trackers = trackers;
    this.paths = paths;
    this.clock = clock;
    this.admitted = new ServedShares(clock);
    this.served = new ServedShares(clock);
    this.fairOrder = new FairOrder(served);
  }

  /**
   * Returns the order of the queue.
   *
   * @return the order that is in force now
   */
  PieceOrder order() {
    return paths.isInForce() ? fairOrder : targetOrder;
  }

  /**
   * Finds upstreams for which work is held back from a slower one.
   *
   * @param slow tracker of the slower one, which is free
   * @param limits batch profile of the service
   * @return the faster upstreams; none without overload control
   */
  FasterUpstreams fasterThan(CallTracker slow, BatchProfile limits) {
    return paths.isInForce() ? trackers.fasterThan(slow, limits) : FasterUpstreams.NONE;
  }

  /**
   * Returns the maximum number of pieces of the next call to an upstream. One whose last call was
   * lost may be gone, so it gets one piece: the pieces of a lost call wait for its timeout.
   *
   * @param tracker tracker of the upstream
   * @param limits batch profile of the service
   * @return number of pieces
   */
  int maxPieces(CallTracker tracker, BatchProfile limits) {
    return paths.isInForce() && tracker.isDoubtful() ? 1 : limits.maxPieces();
  }

  /**
   * Returns whether overload control is in force.
   *
   * @return false if work is served as without it
   */
  boolean isInForce() {
    return paths.isInForce();
  }

  private boolean isControlled(StageWork work) {
    return paths.isInForce() && work.path().isPresent();
  }

  /**
   * Decides on work that arrives. Work that cannot meet its deadline is refused. Work without
   * inputs has cost nothing yet, so it is refused too if waiting makes it miss the target latency:
   * otherwise all requests of a burst would miss it.
   *
   * @param submission the work
   * @param limits batch profile of the service
   * @return the refusal; empty if the work is admitted
   */
  Optional<SubmissionEnd.Failed> refusal(Submission submission, BatchProfile limits) {
    return isControlled(submission.work())
        ? refusalByPath(submission, limits)
        : refusalByQueue(submission.work(), limits);
  }

  private Optional<SubmissionEnd.Failed> refusalByQueue(StageWork work, BatchProfile limits) {
    long waitMs = trackers.expectedWaitMs(limits, queue.countAhead(work), clock.millis());
    long callMs = (long) StageTimes.callMs(limits, work.pieceCount());
    if (waitMs + callMs > work.remainingMs()) {
      return Optional.of(new SubmissionEnd.Failed(SubmissionEnd.Cause.LATE, waitMs));
    }
    boolean queueMissesTarget =
        callMs <= work.targetRemainingMs() && waitMs + callMs > work.targetRemainingMs();
    return work.isNew() && queueMissesTarget
        ? Optional.of(new SubmissionEnd.Failed(SubmissionEnd.Cause.OVERLOADED, waitMs))
        : Optional.empty();
  }

  private Optional<SubmissionEnd.Failed> refusalByPath(Submission submission, BatchProfile limits) {
    StageWork work = submission.work();
    paths.recordArrival(work.requestId(), service);
    RequestPath path = work.path().orElseThrow();
    submission.setTargetAtMs(
        clock.millis() + path.objectiveRemainingMs() - paths.followingMs(work.stage(), path));
    // The time of earlier stages would be wasted, so work with inputs waits unless the call alone
    // exceeds its deadline.
    long waitMs = work.isNew() ? waitMs(submission, limits) : 0;
    if (waitMs + (long) StageTimes.callMs(limits, work.pieceCount()) > work.remainingMs()) {
      return Optional.of(new SubmissionEnd.Failed(SubmissionEnd.Cause.LATE, waitMs));
    }
    return work.isNew() ? refusalOfNew(submission, limits) : Optional.empty();
  }

  /** Refuses new work that misses its objective, unless its workspace or priority would starve. */
  private Optional<SubmissionEnd.Failed> refusalOfNew(Submission submission, BatchProfile limits) {
    StageWork work = submission.work();
    if (clock.millis() >= submission.refusableUntilMs()
        || admitted.isBelowMinimum(submission.owner().workspace())
        || admitted.isBelowMinimum(work.priority())) {
      return Optional.empty();
    }
    RequestPath path = work.path().orElseThrow();
    PathEstimate estimate =
        paths.estimate(
            work.stage(),
            waitMs(submission, limits),
            callMs(work, limits),
            submission.owner(),
            path);
    long elapsedMs = submission.waitedMs(clock.millis());
    return estimate.misses(path.objectiveRemainingMs() - elapsedMs)
        ? Optional.of(new SubmissionEnd.Failed(SubmissionEnd.Cause.OVERLOADED, estimate.waitMs()))
        : Optional.empty();
  }

  private long waitMs(Submission submission, BatchProfile limits) {
    StageWork work = submission.work();
    long nowMs = clock.millis();
    double capacity = trackers.soundPiecesPerMs(limits, nowMs);
    if (capacity == 0) {
      return trackers.expectedWaitMs(limits, 0, nowMs);
    }
    double free = PathAdmission.freePiecesPerMs(capacity, served.moreUrgentPerMs(work.priority()));
    long ahead = queue.countAhead(submission, served, onTimeFromMs(limits, nowMs));
    double waitMs = trackers.untilFreeMs(nowMs) + ahead / free;
    return (long) (waitMs + paths.countComing(service, work.priority(), (long) waitMs) / free);
  }

  private long callMs(StageWork work, BatchProfile limits) {
    return Math.max((long) StageTimes.callMs(limits, work.pieceCount()), trackers.meanCallMs());
  }

  private static long onTimeFromMs(BatchProfile limits, long nowMs) {
    return nowMs + (long) StageTimes.callMs(limits, 1);
  }

  /**
   * Records work that was queued.
   *
   * @param submission the work
   * @param limits batch profile of the service
   */
  void onAdmitted(Submission submission, BatchProfile limits) {
    StageWork work = submission.work();
    if (!isControlled(work)) {
      return;
    }
    admitted.add(submission.owner(), work.pieceCount());
    if (work.isNew()) {
      announce(submission, limits);
    }
    if (clock.millis() - publishedAtMs >= PUBLISH_INTERVAL_MS) {
      publishBacklog(limits);
    }
  }

  private void announce(Submission submission, BatchProfile limits) {
    StageWork work = submission.work();
    paths.announce(
        work.requestId(),
        work.stage(),
        waitMs(submission, limits),
        callMs(work, limits),
        submission.owner(),
        work.path().orElseThrow());
  }

  /**
   * Refuses queued work that other work has made miss its objective, the least urgent first. Only
   * work that has not started and can still be refused in time is considered.
   *
   * @param limits batch profile of the service
   * @param refuse receives each submission to refuse
   */
  void shed(BatchProfile limits, BiConsumer<Submission, SubmissionEnd.Failed> refuse) {
    long nowMs = clock.millis();
    if (!paths.isInForce() || nowMs - shedAtMs < SHED_INTERVAL_MS) {
      return;
    }
    shedAtMs = nowMs;
    List<Submission> candidates =
        queue
            .find(
                queued ->
                    queued.work().isNew()
                        && !queued.isStarted()
                        && nowMs < queued.refusableUntilMs())
            .stream()
            .sorted(
                Comparator.comparingInt((Submission queued) -> queued.work().priority())
                    .thenComparingLong(Submission::targetAtMs)
                    .reversed())
            .toList();
    for (Submission queued : candidates) {
      if (queued.isEnded()) {
        // The refusal of another stage of its request has ended it.
        continue;
      }
      // Its own later stages are no work before it.
      paths.withdraw(queued.work().requestId());
      Optional<SubmissionEnd.Failed> refusal = refusalOfNew(queued, limits);
      if (refusal.isPresent()) {
        refuse.accept(queued, refusal.get());
      } else {
        announce(queued, limits);
      }
    }
  }

  /**
   * Records work that was refused, cancelled or failed after it was queued.
   *
   * @param submission the work
   */
  void onNotServed(Submission submission) {
    StageWork work = submission.work();
    if (isControlled(work)) {
      if (work.isNew()) {
        paths.withdraw(work.requestId());
      }
      if (!submission.isStarted()) {
        admitted.add(submission.owner(), -work.pieceCount());
      }
    }
  }

  /**
   * Records pieces that were sent.
   *
   * @param batch pieces of one call
   */
  void onSent(List<WaitingPiece> batch) {
    for (WaitingPiece piece : batch) {
      Submission submission = piece.submission();
      submission.recordStart();
      served.add(submission.owner(), 1);
    }
  }

  /**
   * Makes the backlog known to the estimates of the local VM.
   *
   * @param limits batch profile of the service
   */
  void publishBacklog(BatchProfile limits) {
    if (paths.isInForce()) {
      publishedAtMs = clock.millis();
      backlog(limits).ifPresent(paths.backlogs()::put);
    }
  }

  /**
   * Returns capacity and queue.
   *
   * @param limits batch profile of the service
   * @return the backlog; empty if no upstream was used yet
   */
  Optional<StageBacklog> backlog(BatchProfile limits) {
    long nowMs = clock.millis();
    double piecesPerMs = trackers.soundPiecesPerMs(limits, nowMs);
    return piecesPerMs == 0
        ? Optional.empty()
        : Optional.of(
            new StageBacklog(
                service,
                nowMs,
                piecesPerMs,
                trackers.meanCallMs(),
                queue.countByPriority(),
                served.perMsByPriority()));
  }
}
