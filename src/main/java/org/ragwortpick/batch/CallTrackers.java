package org.ragwortpick.batch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.sync.Upstream;

/** Trackers of all upstreams of one stage service. Confined to the thread of the collector. */
final class CallTrackers {

  private static final double MS_PER_SECOND = 1_000.0;

  /** Wait in a queue that no upstream shortens, longer than any deadline. */
  private static final long MAX_WAIT_MS = 3_600_000;

  /** Weight of a new call in the mean duration; the calls of about a second count. */
  private static final double CALL_WEIGHT = 0.1;

  /** Ratio of two slowdowns from which one upstream counts as faster than another. */
  private static final double MIN_SPEED_RATIO = 1.5;

  private final RequestedPauses requestedPauses;
  private final NamedLimits limits;
  private final VersionGate versions;
  private final Map<String, CallTracker> byUpstream = new LinkedHashMap<>();
  private double meanCallMs;

  /**
   * Creates an instance without trackers.
   *
   * @param requestedPauses pauses that upstreams requested
   * @param limits limits that upstreams named
   * @param versions tells which upstreams may get the next call
   */
  CallTrackers(RequestedPauses requestedPauses, NamedLimits limits, VersionGate versions) {
    this.requestedPauses = requestedPauses;
    this.limits = limits;
    this.versions = versions;
  }

  /**
   * Adds trackers of new upstreams and removes those of upstreams that are gone. A restarted
   * upstream gets a new tracker.
   *
   * @param upstreams upstreams that may take work
   */
  void refresh(List<Upstream> upstreams) {
    Map<String, Upstream> current = new LinkedHashMap<>();
    upstreams.forEach(upstream -> current.put(keyOf(upstream), upstream));
    byUpstream.keySet().retainAll(current.keySet());
    current.forEach(
        (key, upstream) ->
            byUpstream
                .computeIfAbsent(key, id -> new CallTracker(upstream, requestedPauses))
                .update(upstream));
  }

  private static String keyOf(Upstream upstream) {
    return upstream.id() + "@" + upstream.incarnation();
  }

  /**
   * Returns the tracker of an upstream.
   *
   * @param upstream the upstream
   * @return its tracker; empty if it is gone
   */
  Optional<CallTracker> find(Upstream upstream) {
    return Optional.ofNullable(byUpstream.get(keyOf(upstream)));
  }

  /**
   * Finds the upstream that holds a result which was produced for this collector.
   *
   * @param handle handle of the result
   * @return the upstream; empty if no tracker knows the result
   */
  Optional<Upstream> holderOf(String handle) {
    return byUpstream.values().stream()
        .filter(tracker -> tracker.resultCapacity().contains(handle))
        .map(CallTracker::upstream)
        .findFirst();
  }

  /**
   * Returns whether a call could be sent if it found result capacity.
   *
   * @param profile batch profile of the service
   * @param nowMs monotonic time in milliseconds
   * @return whether an upstream is free, or none is known yet
   */
  boolean mayHaveFree(BatchProfile profile, long nowMs) {
    return byUpstream.isEmpty()
        || byUpstream.values().stream().anyMatch(tracker -> mayCall(tracker, profile, nowMs));
  }

  private boolean mayCall(CallTracker tracker, BatchProfile profile, long nowMs) {
    return tracker.isFree(profile, nowMs)
        && limits.isAvailable(tracker.upstream())
        && versions.admits(tracker.upstream());
  }

  /**
   * Lists the free upstreams, those of a version that is due before the others, and the fastest
   * first.
   *
   * @param profile batch profile of the service
   * @param nowMs monotonic time in milliseconds
   * @return trackers of the free upstreams
   */
  List<CallTracker> free(BatchProfile profile, long nowMs) {
    return byUpstream.values().stream()
        .filter(tracker -> mayCall(tracker, profile, nowMs))
        .sorted(
            Comparator.<CallTracker, Boolean>comparing(
                    tracker -> !versions.isDue(tracker.upstream()))
                .thenComparingDouble(CallTracker::slowdown))
        .toList();
  }

  /**
   * Returns when the first upstream of a data centre is expected to be free.
   *
   * @param dataCentre name of the data centre
   * @return monotonic time in milliseconds; {@link Long#MAX_VALUE} if it has no upstream
   */
  long freeAtMs(String dataCentre) {
    return byUpstream.values().stream()
        .filter(tracker -> tracker.upstream().dataCentre().equals(dataCentre))
        .mapToLong(CallTracker::busyUntilMs)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the expected wait behind queued pieces.
   *
   * @param profile batch profile of the service
   * @param piecesAhead pieces that go first
   * @param nowMs monotonic time in milliseconds
   * @return time in milliseconds; 0 if no upstream was used yet
   */
  long expectedWaitMs(BatchProfile profile, long piecesAhead, long nowMs) {
    if (byUpstream.isEmpty()) {
      return 0;
    }
    double piecesPerMs = piecesPerMs(profile, nowMs);
    return piecesPerMs == 0 ? MAX_WAIT_MS : untilFreeMs(nowMs) + (long) (piecesAhead / piecesPerMs);
  }

  /**
   * Returns the time until an upstream is expected to be free.
   *
   * @param nowMs monotonic time in milliseconds
   * @return time in milliseconds; 0 if one is free or none was used yet
   */
  long untilFreeMs(long nowMs) {
    long freeAtMs =
        byUpstream.values().stream().mapToLong(CallTracker::busyUntilMs).min().orElse(nowMs);
    return Math.max(0, freeAtMs - nowMs);
  }

  /**
   * Returns the throughput of all upstreams with full calls.
   *
   * @param profile batch profile of the service
   * @param nowMs monotonic time in milliseconds
   * @return pieces per millisecond; 0 if no upstream was used yet
   */
  double piecesPerMs(BatchProfile profile, long nowMs) {
    boolean allPaused =
        byUpstream.values().stream().allMatch(tracker -> tracker.hasRequestedPause(nowMs));
    double piecesPerMs = 0;
    for (CallTracker tracker : byUpstream.values()) {
      boolean counts = allPaused || !tracker.hasRequestedPause(nowMs);
      piecesPerMs += counts ? piecesPerMs(tracker, profile) : 0;
    }
    return piecesPerMs;
  }

  /**
   * Finds the upstreams that are clearly faster than one.
   *
   * @param slow tracker of the one
   * @param profile batch profile of the service
   * @return the faster ones together
   */
  FasterUpstreams fasterThan(CallTracker slow, BatchProfile profile) {
    double fullCallMs = StageTimes.callMs(profile, profile.maxPieces());
    long freeAtMs = Long.MAX_VALUE;
    double slowdown = 0;
    int count = 0;
    for (CallTracker tracker : byUpstream.values()) {
      if (tracker.slowdown() * MIN_SPEED_RATIO <= slow.slowdown()) {
        freeAtMs = Math.min(freeAtMs, tracker.busyUntilMs());
        slowdown = Math.max(slowdown, tracker.slowdown());
        count++;
      }
    }
    return count == 0
        ? FasterUpstreams.NONE
        : new FasterUpstreams(
            (long) (slow.slowdown() * fullCallMs),
            (long) (slowdown * fullCallMs),
            freeAtMs,
            count * profile.maxPieces());
  }

  /**
   * Returns the throughput of the upstreams whose last call was answered.
   *
   * @param profile batch profile of the service
   * @param nowMs monotonic time in milliseconds
   * @return pieces per millisecond; that of all upstreams if no call was answered
   */
  double soundPiecesPerMs(BatchProfile profile, long nowMs) {
    double sound =
        byUpstream.values().stream()
            .filter(tracker -> !tracker.isDoubtful() && !tracker.hasRequestedPause(nowMs))
            .mapToDouble(tracker -> piecesPerMs(tracker, profile))
            .sum();
    return sound == 0 ? piecesPerMs(profile, nowMs) : sound;
  }

  /**
   * Records the duration of a call that was answered.
   *
   * @param tookMs time in milliseconds
   */
  void recordCall(long tookMs) {
    meanCallMs = meanCallMs == 0 ? tookMs : meanCallMs + CALL_WEIGHT * (tookMs - meanCallMs);
  }

  /**
   * Returns the mean duration of recent calls.
   *
   * @return time in milliseconds; 0 before the first call
   */
  long meanCallMs() {
    return (long) meanCallMs;
  }

  private double piecesPerMs(CallTracker tracker, BatchProfile profile) {
    double callsPerMs = limits.ownRequestsPerSecond(tracker.upstream()) / MS_PER_SECOND;
    return Math.min(tracker.piecesPerMs(profile), callsPerMs * profile.maxPieces());
  }
}
