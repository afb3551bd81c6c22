package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.sync.Upstream;

/**
 * Model of the leader of cold allowances. The granted slots of an upstream never exceed the limit
 * of its ramp in total. The limit starts at the cold limit and doubles after each step in which the
 * ramp is not started again.
 */
final class ColdAllowanceLeader {

  /** Length of a lease in milliseconds. */
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
   * Starts or restarts the ramp of an upstream.
   *
   * @param upstream the upstream
   * @param stepMs time in milliseconds after which the limit doubles
   */
  void startRamp(Upstream upstream, long stepMs) {
    Ramp ramp = ramps.computeIfAbsent(upstream.id(), id -> new Ramp());
    ramp.startedAtMs = queue.sinceStartMs();
    ramp.coldLimit = upstream.coldLimit();
    ramp.slots = upstream.slots();
    ramp.stepMs = stepMs;
  }

  /**
   * Tells whether the ramp of an upstream is in progress.
   *
   * @param upstreamId id of the upstream
   * @return true if a ramp was started and its limit is below the slots of the upstream
   */
  boolean isRamping(String upstreamId) {
    Ramp ramp = ramps.get(upstreamId);
    return ramp != null && currentLimit(ramp) < ramp.slots;
  }

  /**
   * Removes the completed ramps and lists the others.
   *
   * @return ids of the upstreams whose ramp is in progress
   */
  Set<String> rampingIds() {
    ramps.values().removeIf(ramp -> currentLimit(ramp) >= ramp.slots);
    return new HashSet<>(ramps.keySet());
  }

  /**
   * Grants slots of an upstream to a VM for the length of a lease.
   *
   * @param vm index of the VM
   * @param upstreamId id of the upstream
   * @param inUse slots that the VM uses now, which stay reserved
   * @param wanted slots that the VM requests, including those in use
   * @return granted slots
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
      // Requests that were sent under an expired lease may still be running.
      boolean isReserved =
          entry.getKey() != vm && nowMs < grant.expiresAtMs + EXPIRED_GRANT_RETENTION_MS;
      otherVmSlots += isReserved ? grant.slots : 0;
    }
    int grantedSlots = Math.max(Math.min(wanted, currentLimit(ramp) - otherVmSlots), 0);
    // Running requests occupy the upstream even if no slot can be granted for them.
    ramp.grants.put(vm, new Grant(Math.max(grantedSlots, inUse), nowMs + LEASE_MS));
    return grantedSlots;
  }

  private int currentLimit(Ramp ramp) {
    long completedSteps = (long) ((queue.sinceStartMs() - ramp.startedAtMs) / ramp.stepMs);
    return Math.min(ramp.slots, ramp.coldLimit << Math.min(10, completedSteps));
  }
}
