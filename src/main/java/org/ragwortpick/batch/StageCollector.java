package org.ragwortpick.batch;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.admission.StageBacklog;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.sync.Upstream;

/**
 * Queues the pieces of one stage service and sends them to its upstreams in batches. A call is sent
 * as soon as an upstream is free and takes as many queued pieces as it can, so batches grow under
 * load and no piece waits while an upstream is idle. Confined to one thread.
 */
public final class StageCollector {

  private static final Logger LOG = Logger.getLogger(StageCollector.class);

  /** Number of calls in which one piece may fail before its stage fails. */
  private static final int MAX_PIECE_FAILURES = 3;

  /**
   * Time after the target latency at which work behind a full queue fails: its inputs would expire
   * in the queue, and its caller can retry when the queue is shorter.
   */
  private static final long MAX_TARGET_OVERRUN_MS = 1_500;

  /** Time within which an upstream has fetched the inputs of a call, a few megabytes at most. */
  private static final long MAX_INPUT_FETCH_MS = 150;

  /** Interval at which waiting pieces are dispatched again, for example to a paused upstream. */
  private static final long REDISPATCH_INTERVAL_MS = 50;

  /** Minimum time between two passes over a long queue that new work causes. */
  private static final long MIN_DISPATCH_INTERVAL_MS = 5;

  /** Number of queued pieces from which a pass over the queue is worth avoiding. */
  private static final int LONG_QUEUE_PIECES = 64;

  private final String service;
  private final Supplier<Optional<BatchProfile>> profile;
  private final Supplier<List<Upstream>> upstreams;
  private final LongSupplier revision;
  private final CollectorRole role;
  private final BatchTransport transport;
  private final ResultReleaser inputReleaser;
  private final Timers timers;
  private final Clock clock;
  private final PieceQueue queue = new PieceQueue();
  private final NamedLimits namedLimits;
  private final CallTrackers trackers;
  private final StageAdmission admission;
  private final StageRefusalLog refusalLog;
  private Timers.Timer redispatch = () -> {};
  private long redispatchAtMs = Long.MAX_VALUE;
  private long dispatchedAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the collector of a service.
   *
   * @param service name of the service
   * @param profile batch profile of the service; empty if the configuration has none
   * @param upstreams upstreams of the service that may take work
   * @param revision revision of the configuration, read before the upstreams
   * @param role decides for which VMs the local VM may collect pieces
   * @param transport sends calls to upstreams
   * @param requestedPauses pauses that upstreams requested
   * @param limits limits that upstreams named
   * @param versions tells which upstreams may get the next call, as far as a rollout decides
   * @param inputReleaser releases results of other services
   * @param timers timers on the thread of the collector
   * @param clock monotonic clock
   * @param paths estimates of the local VM, which state whether overload control is in force
   */
  public StageCollector(
      String service,
      Supplier<Optional<BatchProfile>> profile,
      Supplier<List<Upstream>> upstreams,
      LongSupplier revision,
      CollectorRole role,
      BatchTransport transport,
      RequestedPauses requestedPauses,
      NamedLimits limits,
      VersionGate versions,
      ResultReleaser inputReleaser,
      Timers timers,
      Clock clock,
      PathAdmission paths) {
    this.service = service;
    this.profile = profile;
    this.upstreams = upstreams;
    this.revision = revision;
    this.role = role;
    this.transport = new PausingTransport(transport, requestedPauses, limits, timers);
    this.namedLimits = limits;
    this.trackers = new CallTrackers(requestedPauses, limits, versions);
    this.inputReleaser = inputReleaser;
    this.timers = timers;
    this.clock = clock;
    this.admission = new StageAdmission(service, queue, trackers, paths, clock);
    this.refusalLog = new StageRefusalLog(service, queue);
  }

  /**
   * Queues the pieces of a stage, or refuses them.
   *
   * @param work the pieces
   * @param viewAgeMs age of the sender's view of the upstreams in milliseconds
   * @param whenEnded receives the outcome exactly once, unless the work is cancelled
   * @return cancels the work
   */
  public Runnable submit(StageWork work, long viewAgeMs, Consumer<SubmissionEnd> whenEnded) {
    Submission submission = new Submission(work, viewAgeMs, clock.millis(), whenEnded);
    Optional<BatchProfile> limits = profile.get();
    List<Upstream> available =
        role.mayCollectFor(service, viewAgeMs, 0) ? upstreams.get() : List.of();
    if (limits.isEmpty() || available.stream().noneMatch(namedLimits::hasPart)) {
      LOG.infof(
          "request %s: stage %d refused, service %s has %s; the sender's view is %d ms old",
          work.requestId(),
          work.stage(),
          service,
          limits.isEmpty() ? "no batch profile" : "no upstream for this VM",
          viewAgeMs);
      submission.end(new SubmissionEnd.Failed(SubmissionEnd.Cause.UNAVAILABLE, 0));
      return () -> {};
    }
    Optional<SubmissionEnd.Failed> refusal = admission.refusal(submission, limits.get());
    if (refusal.isPresent()) {
      refusalLog.write(work, refusal.get(), "on arrival");
      submission.end(refusal.get());
      return () -> {};
    }
    queue.add(submission.pieces());
    admission.onAdmitted(submission, limits.get());
    admission.shed(limits.get(), this::refuseQueued);
    dispatchIfUseful();
    return () -> cancel(submission);
  }

  /** Refuses work that waits in the queue and has not started. */
  private void refuseQueued(Submission submission, SubmissionEnd.Failed refusal) {
    refusalLog.write(submission.work(), refusal, "in the queue");
    admission.onNotServed(submission);
    submission.end(refusal);
  }

  /**
   * Returns the expected wait of a new piece in the queue.
   *
   * @param priority priority of the request, 0 is the most urgent
   * @return time in milliseconds; 0 if the service has no profile or no upstream was used yet
   */
  public long expectedWaitMs(int priority) {
    return profile
        .get()
        .map(limits -> trackers.expectedWaitMs(limits, queue.countAhead(priority), clock.millis()))
        .orElse(0L);
  }

  /**
   * Returns capacity and queue.
   *
   * @return the backlog; empty if the service has no profile or no upstream was used yet
   */
  Optional<StageBacklog> backlog() {
    return profile.get().flatMap(admission::backlog);
  }

  private void cancel(Submission submission) {
    if (!submission.isEnded()) {
      admission.onNotServed(submission);
      submission.cancel();
      release(submission.producedHandles());
    }
  }

  /**
   * Releases results that are no longer needed. Their capacity counts as free only when the
   * upstream has confirmed the release, because a call on another connection may overtake it.
   *
   * @param handles handles of the results
   */
  public void release(List<String> handles) {
    Map<Upstream, List<String>> byUpstream = new HashMap<>();
    for (String handle : handles) {
      upstreamOf(handle)
          .ifPresent(
              upstream ->
                  byUpstream.computeIfAbsent(upstream, key -> new ArrayList<>()).add(handle));
    }
    byUpstream.forEach(
        (upstream, released) ->
            transport.release(upstream, released, () -> onReleased(upstream, released)));
  }

  private void onReleased(Upstream upstream, List<String> handles) {
    trackers.find(upstream).ifPresent(tracker -> handles.forEach(tracker.resultCapacity()::remove));
    dispatchIfUseful();
  }

  /** Finds the upstream of a result; of another collector's result by the address in the handle. */
  private Optional<Upstream> upstreamOf(String handle) {
    return trackers
        .holderOf(handle)
        .or(
            () ->
                upstreams.get().stream()
                    .filter(upstream -> handle.startsWith(upstream.address() + "/"))
                    .findFirst());
  }

  /** Fails the pieces that can no longer be served, and sends calls to all free upstreams. */
  private void dispatch() {
    Optional<BatchProfile> limits = profile.get();
    if (limits.isEmpty()) {
      return;
    }
    long nowMs = clock.millis();
    dispatchedAtMs = nowMs;
    long minCallMs = (long) StageTimes.callMs(limits.get(), 1);
    queue
        .removeLate(nowMs, minCallMs)
        .forEach(late -> fail(late, SubmissionEnd.Cause.LATE, "its deadline cannot be met"));
    queue
        .findOverdue(nowMs - MAX_TARGET_OVERRUN_MS, limits.get().maxPieces(), admission.isInForce())
        .forEach(work -> fail(work, SubmissionEnd.Cause.OVERLOADED, "target missed in the queue"));
    failUnpermittedWork(nowMs);
    long chosenAtRevision = revision.getAsLong();
    trackers.refresh(upstreams.get());
    List<CallTracker> free = new ArrayList<>(trackers.free(limits.get(), nowMs));
    // Upstreams in preferred data centres come first; the others still get what is left.
    free.sort(Comparator.comparing(tracker -> !queue.anyPrefers(tracker.upstream().dataCentre())));
    for (CallTracker tracker : free) {
      FreeSlot slot =
          new FreeSlot(
              tracker.upstream().dataCentre(),
              admission.maxPieces(tracker, limits.get()),
              tracker.resultCapacity().freeBytes(limits.get().resultRoomBytes(), nowMs),
              nowMs,
              minCallMs,
              (long) StageTimes.callMs(limits.get(), limits.get().maxPieces()),
              admission.fasterThan(tracker, limits.get()));
      List<WaitingPiece> batch = queue.takeBatch(slot, admission.order(), trackers::freeAtMs);
      if (!batch.isEmpty()) {
        admission.onSent(batch);
        send(
            tracker,
            new SentBatch(
                service,
                tracker.upstream(),
                chosenAtRevision,
                batch,
                nowMs,
                StageTimes.callMs(limits.get(), batch.size())),
            limits.get());
      }
    }
    admission.publishBacklog(limits.get());
    if (queue.size() > 0) {
      scheduleRedispatch(nowMs + REDISPATCH_INTERVAL_MS);
    }
  }

  /** Fails work that this VM may no longer collect; its senders try the next collector. */
  private void failUnpermittedWork(long nowMs) {
    queue
        .removeIf(work -> !role.mayCollectFor(service, work.viewAgeMs(), work.waitedMs(nowMs)))
        .forEach(
            work ->
                fail(
                    work,
                    SubmissionEnd.Cause.UNAVAILABLE,
                    "collector leaving, without a path to upstreams, or its view too old"));
  }

  /**
   * Dispatches after a change that may let a call start. While all upstreams are busy there is
   * nothing to send, so new work costs no pass over the queue then. Behind a long queue that waits
   * for result capacity, several changes share a pass.
   */
  private void dispatchIfUseful() {
    long nowMs = clock.millis();
    boolean mayStart =
        profile.get().filter(limits -> trackers.mayHaveFree(limits, nowMs)).isPresent();
    if (!mayStart) {
      scheduleRedispatch(nowMs + REDISPATCH_INTERVAL_MS);
    } else if (queue.size() < LONG_QUEUE_PIECES
        || nowMs - dispatchedAtMs >= MIN_DISPATCH_INTERVAL_MS) {
      dispatch();
    } else {
      scheduleRedispatch(dispatchedAtMs + MIN_DISPATCH_INTERVAL_MS);
    }
  }

  private void scheduleRedispatch(long atMs) {
    if (atMs >= redispatchAtMs) {
      return;
    }
    redispatch.cancel();
    redispatchAtMs = atMs;
    redispatch =
        timers.schedule(
            Math.max(0, atMs - clock.millis()),
            () -> {
              redispatchAtMs = Long.MAX_VALUE;
              dispatch();
            });
  }

  private void send(CallTracker tracker, SentBatch sent, BatchProfile limits) {
    tracker.onCallStarted(sent.sentAtMs(), sent.statedMs());
    tracker.resultCapacity().reserve(sent.resultBytes());
    Timers.Timer inputRelease =
        tracker.resultCapacity().isReliable(sent.sentAtMs()) && role.isSoleCollector(service)
            ? timers.schedule(MAX_INPUT_FETCH_MS, () -> releaseFetchedInputs(sent.pieces()))
            : () -> {};
    transport.run(
        sent.upstream(),
        sent.pieces().stream().map(piece -> piece.toCall(sent.sentAtMs())).toList(),
        tracker.timeoutMs(limits, sent.pieces().size()),
        outcome -> {
          tracker.resultCapacity().cancelReservation(sent.resultBytes());
          inputRelease.cancel();
          onOutcome(tracker, sent, limits, outcome);
          dispatch();
        });
  }

  /**
   * Releases the inputs that all pieces of a submission have fetched. Upstreams fetch inputs at the
   * start of a call, so they are released during it, which frees result capacity for other
   * requests. If the call may find no result capacity, they are kept until it ends, since its
   * pieces are requested again.
   */
  private void releaseFetchedInputs(List<WaitingPiece> batch) {
    batch.stream()
        .flatMap(piece -> piece.submission().onInputsFetched(piece.piece()).stream())
        .collect(
            Collectors.groupingBy(
                StageInput::service, Collectors.mapping(StageInput::handle, Collectors.toList())))
        .forEach(inputReleaser::release);
  }

  private void onOutcome(
      CallTracker tracker, SentBatch sent, BatchProfile limits, BatchOutcome outcome) {
    long nowMs = clock.millis();
    if (outcome instanceof BatchOutcome.Answered answered) {
      sent.logAnswered(answered.results(), nowMs, queue.size());
      tracker.onCallAnswered(sent.statedMs(), nowMs - sent.sentAtMs());
      trackers.recordCall(nowMs - sent.sentAtMs());
      int pieces = sent.pieces().size();
      tracker.measureThroughput(pieces, nowMs, queue.size() >= limits.maxPieces());
      long expiresAtMs = nowMs + limits.resultLifetimeMs();
      for (int i = 0; i < pieces; i++) {
        onResult(tracker, sent.pieces().get(i), answered.results().get(i), expiresAtMs);
      }
      recordExhaustedCapacity(tracker, answered.results(), limits, nowMs);
      return;
    }
    boolean lost = outcome instanceof BatchOutcome.Lost;
    if (tracker.hasRequestedPause(nowMs)) {
      tracker.onPauseRequested();
    } else {
      tracker.onCallFailed(nowMs, lost);
    }
    sent.logNotAnswered(outcome, nowMs, tracker.pausedUntilMs() - nowMs);
    sent.pieces().forEach(piece -> requeue(lost ? piece.withFailure() : piece));
  }

  private static void recordExhaustedCapacity(
      CallTracker tracker, List<PieceResult> results, BatchProfile limits, long nowMs) {
    ResultCapacity capacity = tracker.resultCapacity();
    if (results.contains(new PieceResult.NotProduced(PieceResult.Cause.NO_ROOM))) {
      capacity.onExhausted(limits.resultRoomBytes(), nowMs);
      tracker.onCapacityExhausted(nowMs);
    }
  }

  private void onResult(
      CallTracker tracker, WaitingPiece piece, PieceResult result, long expiresAtMs) {
    Submission submission = piece.submission();
    if (result instanceof PieceResult.Produced produced) {
      tracker.resultCapacity().add(produced.handle(), submission.work().resultBytes(), expiresAtMs);
      releaseFetchedInputs(List.of(piece));
      if (submission.isEnded()) {
        release(List.of(produced.handle()));
      } else {
        submission.onProduced(piece.piece(), produced.handle());
      }
      return;
    }
    switch (((PieceResult.NotProduced) result).cause()) {
      case LATE -> fail(submission, SubmissionEnd.Cause.LATE, "deadline passed at the upstream");
      case INPUT_GONE -> fail(submission, SubmissionEnd.Cause.INPUT_GONE, "an input is missing");
      case NO_ROOM -> requeue(piece);
      default -> requeue(piece.withFailure());
    }
  }

  private void requeue(WaitingPiece piece) {
    if (piece.failures() >= MAX_PIECE_FAILURES) {
      fail(piece.submission(), SubmissionEnd.Cause.FAILED, "a piece failed repeatedly");
    } else if (!piece.submission().isEnded()) {
      queue.add(List.of(piece));
    }
  }

  private void fail(Submission submission, SubmissionEnd.Cause cause, String detail) {
    if (!submission.isEnded()) {
      DecisionLine.of("stage failed")
          .with("request", submission.work().requestId())
          .with("stage", submission.work().stage())
          .with("service", service)
          .with("cause", cause)
          .with("detail", detail)
          .with("waitingPieces", queue.size())
          .info(LOG);
      admission.onNotServed(submission);
      List<String> produced = submission.producedHandles();
      submission.end(new SubmissionEnd.Failed(cause, expectedWaitMs(submission.work().priority())));
      release(produced);
    }
  }
}
