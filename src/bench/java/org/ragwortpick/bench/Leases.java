package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.sync.Upstream;

/**
 * Stand-in for the leader's side of cold allowances, with the contract of the design: the sum of
 * granted places never exceeds the ramp, which starts at the cold limit and doubles after each step
 * without trouble.
 */
final class Leases {

  /** Length of a lease. */
  static final double LEASE_MS = 2_000;

  private static final double STAGE_MS = 3_000;

  private final EventQueue queue;
  private final Map<String, Ramp> ramps = new HashMap<>();

  private static final class Ramp {
    private double sinceMs;
    private int coldLimit;
    private int slots;
    private long stepMs;
    private final Map<Integer, Grant> grants = new HashMap<>();
  }

  private record Grant(int places, double expiresAtMs) {}

  /**
   * Creates a leader without ramps.
   *
   * @param queue event queue
   */
  Leases(EventQueue queue) {
    this.queue = queue;
  }

  /**
   * Starts the ramp of an upstream again.
   *
   * @param upstream the upstream
   * @param stepMs time after which the total doubles
   */
  void startRamp(Upstream upstream, long stepMs) {
    Ramp ramp = ramps.computeIfAbsent(upstream.id(), id -> new Ramp());
    ramp.sinceMs = queue.sinceStartMs();
    ramp.coldLimit = upstream.coldLimit();
    ramp.slots = upstream.slots();
    ramp.stepMs = stepMs;
  }

  /**
   * Tells whether a ramp runs.
   *
   * @param upstreamId identity of the upstream
   * @return true until the total has reached the slots
   */
  boolean isRamping(String upstreamId) {
    Ramp ramp = ramps.get(upstreamId);
    return ramp != null && total(ramp) < ramp.slots;
  }

  /**
   * Lists the running ramps.
   *
   * @return identities of the upstreams
   */
  Set<String> ramping() {
    ramps.values().removeIf(ramp -> total(ramp) >= ramp.slots);
    return new HashSet<>(ramps.keySet());
  }

  /**
   * Grants places for one lease.
   *
   * @param vm VM that asks
   * @param upstreamId identity of the upstream
   * @param inUse places that the VM uses now, which it keeps
   * @param wanted places that the VM would like
   * @return granted places
   */
  int grant(int vm, String upstreamId, int inUse, int wanted) {
    Ramp ramp = ramps.get(upstreamId);
    if (ramp == null) {
      return 0;
    }
    double nowMs = queue.sinceStartMs();
    int others = 0;
    for (Map.Entry<Integer, Grant> entry : ramp.grants.entrySet()) {
      Grant grant = entry.getValue();
      // An expired lease may still have requests running that it allowed.
      boolean counts = entry.getKey() != vm && nowMs < grant.expiresAtMs + STAGE_MS;
      others += counts ? grant.places : 0;
    }
    int places = Math.max(Math.min(wanted, total(ramp) - others), 0);
    // Requests that run already occupy the upstream whether or not a place is left for them.
    ramp.grants.put(vm, new Grant(Math.max(places, inUse), nowMs + LEASE_MS));
    return places;
  }

  private int total(Ramp ramp) {
    long steps = (long) ((queue.sinceStartMs() - ramp.sinceMs) / ramp.stepMs);
    return Math.min(ramp.slots, ramp.coldLimit << Math.min(10, steps));
  }
}
