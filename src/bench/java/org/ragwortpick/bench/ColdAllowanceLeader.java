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
final class ColdAllowanceLeader {

  /** Length of a lease. */
  static final double LEASE_MS = 2_000;

  private static final double EXPIRED_GRANT_RETENTION_MS = 3_000;

  private final EventQueue queue;
  private final Map<String, Ramp> ramps = new HashMap<>();

  private static final class Ramp {
    private double startedAtMs;
    private int coldLimit;
    private int slots;
    private long stepMs;
    private final Map<Integer, Grant> grants = new HashMap<>();
  }

  private record Grant(int slots, double expiresAtMs) {}

  /**
   * Creates a leader without ramps.
   *
   * @param queue event queue
   */
  ColdAllowanceLeader(EventQueue queue) {
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
    ramp.startedAtMs = queue.sinceStartMs();
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
    return ramp != null && currentLimit(ramp) < ramp.slots;
  }

  /**
   * Lists the running ramps.
   *
   * @return identities of the upstreams
   */
  Set<String> rampingIds() {
    ramps.values().removeIf(ramp -> currentLimit(ramp) >= ramp.slots);
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
    int otherVmSlots = 0;
    for (Map.Entry<Integer, Grant> entry : ramp.grants.entrySet()) {
      Grant grant = entry.getValue();
      // An expired lease may still have requests running that it allowed.
      boolean isReserved =
          entry.getKey() != vm && nowMs < grant.expiresAtMs + EXPIRED_GRANT_RETENTION_MS;
      otherVmSlots += isReserved ? grant.slots : 0;
    }
    int grantedSlots = Math.max(Math.min(wanted, currentLimit(ramp) - otherVmSlots), 0);
    // Requests that run already occupy the upstream whether or not a place is left for them.
    ramp.grants.put(vm, new Grant(Math.max(grantedSlots, inUse), nowMs + LEASE_MS));
    return grantedSlots;
  }

  private int currentLimit(Ramp ramp) {
    long completedSteps = (long) ((queue.sinceStartMs() - ramp.startedAtMs) / ramp.stepMs);
    return Math.min(ramp.slots, ramp.coldLimit << Math.min(10, completedSteps));
  }
}
