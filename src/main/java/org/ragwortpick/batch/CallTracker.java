package org.ragwortpick.batch;

import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.sync.Upstream;

/**
 * Tracks the batch calls, pauses, speed and result capacity of one upstream. Confined to the thread
 * of the collector.
 */
final class CallTracker {

  /** Pause after the first call that was refused, lost or did not reach the upstream. */
  private static final long INITIAL_BACKOFF_MS = 60;

  /**
   * Pause after a call for whose results the upstream had no capacity; by then results of other
   * requests are released.
   */
  private static final long CAPACITY_PAUSE_MS = 100;

  /** Maximum pause after repeated failures. */
  private static final long MAX_BACKOFF_MS = 1_000;

  /** Timeout of a call as a multiple of its expected duration. */
  private static final double TIMEOUT_FACTOR = 2.5;

  /** Part of the timeout that does not depend on the number of pieces. */
  private static final long TIMEOUT_BASE_MS = 300;

  /** Weight of a new measurement in the exponential moving averages. */
  private static final double MEASUREMENT_WEIGHT = 0.3;

  /** Maximum of the measured slowdown, as a multiple of the stated duration. */
  private static final double MAX_SLOWDOWN = 8.0;

  private final RequestedPauses requestedPauses;
  private final ResultCapacity resultCapacity = new ResultCapacity();
  private Upstream upstream;
  private int callsInProgress;
  private double slowdown = 1.0;
  private long backoffMs;
  private long pausedUntilMs;
  private long busyUntilMs;
  private double backlogPiecesPerMs;
  private long backlogSinceMs = -1;
  private boolean doubtful;

  /**
   * Creates the tracker of an upstream.
   *
   * @param upstream the upstream
   * @param requestedPauses pauses that upstreams requested
   */
  CallTracker(Upstream upstream, RequestedPauses requestedPauses) {
    this.upstream = upstream;
    this.requestedPauses = requestedPauses;
  }

  /**
   * Returns the record of the upstream.
   *
   * @return the record
   */
  Upstream upstream() {
    return upstream;
  }

  /**
   * Replaces the record of the upstream by a newer one of the same incarnation.
   *
   * @param newer the record
   */
  void update(Upstream newer) {
    upstream = newer;
  }

  /**
   * Returns the result capacity of the upstream.
   *
   * @return the estimate
   */
  ResultCapacity resultCapacity() {
    return resultCapacity;
  }

  /**
   * Returns whether a call may be sent.
   *
   * @param profile batch profile of the service
   * @param nowMs monotonic time in milliseconds
   * @return whether the upstream has a free slot and is not paused
   */
  boolean isFree(BatchProfile profile, long nowMs) {
    return callsInProgress < Math.max(1, profile.runningCalls()) && nowMs >= pausedUntilMs();
  }

  /**
   * Returns the end of the current pause.
   *
   * @return monotonic time in milliseconds
   */
  long pausedUntilMs() {
    return Math.max(pausedUntilMs, requestedPauses.untilMs(upstream));
  }

  /**
   * Returns whether the upstream has requested a pause that has not ended.
   *
   * @param nowMs monotonic time in milliseconds
   * @return whether it must get no calls now
   */
  boolean hasRequestedPause(long nowMs) {
    return nowMs < requestedPauses.untilMs(upstream);
  }

  /**
   * Returns the measured slowdown.
   *
   * @return measured duration of calls as a multiple of the duration stated in the profile
   */
  double slowdown() {
    return slowdown;
  }

  /**
   * Returns whether the outcome of the last call is unknown.
   *
   * @return whether the upstream may be gone
   */
  boolean isDoubtful() {
    return doubtful;
  }

  /**
   * Returns the timeout of a call.
   *
   * @param profile batch profile of the service
   * @param pieces number of pieces
   * @return time in milliseconds
   */
  long timeoutMs(BatchProfile profile, int pieces) {
    return TIMEOUT_BASE_MS
        + (long) (TIMEOUT_FACTOR * slowdown * StageTimes.callMs(profile, pieces));
  }

  /**
   * Returns the time at which the upstream is expected to be free.
   *
   * @return monotonic time in milliseconds
   */
  long busyUntilMs() {
    return callsInProgress == 0 ? pausedUntilMs() : Math.max(pausedUntilMs(), busyUntilMs);
  }

  /**
   * Records the start of a call.
   *
   * @param nowMs monotonic time in milliseconds
   * @param statedMs duration of the call according to the profile in milliseconds
   */
  void onCallStarted(long nowMs, double statedMs) {
    callsInProgress++;
    busyUntilMs = nowMs + (long) (slowdown * statedMs);
  }

  /**
   * Records a call that was answered and updates the slowdown.
   *
   * @param statedMs duration of the call according to the profile in milliseconds
   * @param tookMs measured duration in milliseconds
   */
  void onCallAnswered(double statedMs, long tookMs) {
    callsInProgress--;
    backoffMs = 0;
    doubtful = false;
    double measured = Math.min(MAX_SLOWDOWN, Math.max(1.0, tookMs / statedMs));
    slowdown += MEASUREMENT_WEIGHT * (measured - slowdown);
  }

  /**
   * Measures the throughput of the upstream under backlog. Result capacity may be exhausted before
   * time is, so the throughput can be lower than the profile states.
   *
   * @param pieces number of pieces of the call that ended
   * @param nowMs monotonic time in milliseconds
   * @param backlogged whether enough pieces are queued for a full call
   */
  void measureThroughput(int pieces, long nowMs, boolean backlogged) {
    if (backlogSinceMs >= 0 && nowMs > backlogSinceMs) {
      double measured = (double) pieces / (nowMs - backlogSinceMs);
      backlogPiecesPerMs =
          backlogPiecesPerMs == 0
              ? measured
              : backlogPiecesPerMs + MEASUREMENT_WEIGHT * (measured - backlogPiecesPerMs);
    }
    backlogSinceMs = backlogged ? nowMs : -1;
  }

  /**
   * Returns the expected throughput of the upstream.
   *
   * @param profile batch profile of the service
   * @return pieces per millisecond according to the profile, or as measured under backlog if that
   *     is less
   */
  double piecesPerMs(BatchProfile profile) {
    double stated = 1 / (slowdown * StageTimes.fullBatchPieceMs(profile));
    return backlogPiecesPerMs == 0 ? stated : Math.min(stated, backlogPiecesPerMs);
  }

  /**
   * Pauses an upstream without result capacity, so that calls that can produce nothing do not
   * follow one another at once.
   *
   * @param nowMs monotonic time in milliseconds
   */
  void onCapacityExhausted(long nowMs) {
    pausedUntilMs = nowMs + CAPACITY_PAUSE_MS;
  }

  /** Records a call that the upstream refused with a request for a pause, which is no failure. */
  void onPauseRequested() {
    callsInProgress--;
  }

  /**
   * Records a call without results and pauses the upstream with exponential backoff.
   *
   * @param nowMs monotonic time in milliseconds
   * @param lost whether the outcome of the call is unknown; doubles the slowdown
   */
  void onCallFailed(long nowMs, boolean lost) {
    // The time of a failed call says nothing about the throughput.
    backlogSinceMs = -1;
    callsInProgress--;
    backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, 2 * backoffMs));
    pausedUntilMs = nowMs + backoffMs;
    if (lost) {
      doubtful = true;
      slowdown = Math.min(MAX_SLOWDOWN, 2 * slowdown);
    }
  }
}
