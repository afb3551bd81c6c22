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

  private final RequestedPauses requestedPauses;
  private final NamedLimits limits;
  private final VersionGate versions;
  private final Map<String, CallTracker> byUpstream = new LinkedHashMap<>();

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
    boolean allPaused =
        byUpstream.values().stream().allMatch(tracker -> tracker.hasRequestedPause(nowMs));
    double piecesPerMs = 0;
    long freeAtMs = Long.MAX_VALUE;
    for (CallTracker tracker : byUpstream.values()) {
      boolean counts = allPaused || !tracker.hasRequestedPause(nowMs);
      piecesPerMs += counts ? piecesPerMs(tracker, profile) : 0;
      freeAtMs = Math.min(freeAtMs, tracker.busyUntilMs());
    }
    if (piecesPerMs == 0) {
      return MAX_WAIT_MS;
    }
    return Math.max(0, freeAtMs - nowMs) + (long) (piecesAhead / piecesPerMs);
  }

  private double piecesPerMs(CallTracker tracker, BatchProfile profile) {
    double callsPerMs = limits.ownRequestsPerSecond(tracker.upstream()) / MS_PER_SECOND;
    return Math.min(tracker.piecesPerMs(profile), callsPerMs * profile.maxPieces());
  }
}
