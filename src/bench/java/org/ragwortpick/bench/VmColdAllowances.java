package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Model of the cold allowances of one entry VM, leased from {@link ColdAllowanceLeader}. */
final class VmColdAllowances implements ColdAllowances {

  private static final int MAX_ADDITIONAL_SLOTS = 4;

  private final EventQueue queue;
  private final ColdAllowanceLeader leader;
  private final int vm;
  private final Map<String, Integer> slotsInUse = new HashMap<>();
  private final Map<String, Integer> deniedRequests = new HashMap<>();
  private final Map<String, Lease> leases = new HashMap<>();
  private final Map<String, Upstream> suspectedCold = new HashMap<>();
  private final Map<String, Long> latestIncarnations = new HashMap<>();
  private Set<String> rampingIds = Set.of();
  private Set<String> returningDataCentres = Set.of();

  private record Lease(int slots, double expiresAtMs) {}

  /**
   * Creates allowances without leases.
   *
   * @param queue event queue
   * @param leader leader that grants the leases
   * @param vm index of the VM
   */
  VmColdAllowances(EventQueue queue, ColdAllowanceLeader leader, int vm) {
    this.queue = queue;
    this.leader = leader;
    this.vm = vm;
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    String id = upstream.id();
    int used = slotsInUse.getOrDefault(id, 0);
    if (needsLease(upstream)) {
      Lease lease = leases.get(id);
      boolean allowed =
          lease != null && queue.sinceStartMs() < lease.expiresAtMs && used < lease.slots;
      if (!allowed) {
        deniedRequests.merge(id, 1, Integer::sum);
        return false;
      }
    }
    slotsInUse.put(id, used + 1);
    return true;
  }

  private boolean needsLease(Upstream upstream) {
    long latestIncarnation = latestIncarnations.getOrDefault(upstream.id(), upstream.incarnation());
    latestIncarnations.put(upstream.id(), Math.max(latestIncarnation, upstream.incarnation()));
    if (upstream.incarnation() > latestIncarnation) {
      suspectedCold.putIfAbsent(upstream.id(), upstream);
    }
    return upstream.state() == UpstreamState.COLD
        || suspectedCold.containsKey(upstream.id())
        || rampingIds.contains(upstream.id())
        || returningDataCentres.contains(upstream.dataCentre());
  }

  @Override
  public void release(Upstream upstream) {
    slotsInUse.computeIfPresent(upstream.id(), (id, used) -> used > 1 ? used - 1 : null);
  }

  @Override
  public void reportCold(Upstream upstream) {
    suspectedCold.putIfAbsent(upstream.id(), upstream);
  }

  /**
   * Sets the data centres whose upstreams need a lease as cold upstreams do.
   *
   * @param dataCentres names of the data centres
   */
  void setReturning(Set<String> dataCentres) {
    returningDataCentres = dataCentres;
  }

  /**
   * Reports cold upstreams to the leader and requests slots for the next lease.
   *
   * @param latencyMs one-way latency to the leader in milliseconds
   * @param rampStepMs time in milliseconds after which the limit of a ramp doubles
   */
  void sync(double latencyMs, long rampStepMs) {
    double sentAtMs = queue.sinceStartMs();
    Map<String, Upstream> reportedCold = new HashMap<>(suspectedCold);
    Map<String, Integer> demand = new HashMap<>(deniedRequests);
    deniedRequests.clear();
    Set<String> requestedIds = new HashSet<>(demand.keySet());
    requestedIds.addAll(leases.keySet());
    Map<String, Integer> used = new HashMap<>(slotsInUse);
    // Unused slots are released by this request and must not be used until the reply arrives.
    leases.replaceAll((id, lease) -> new Lease(used.getOrDefault(id, 0), lease.expiresAtMs));
    queue.schedule(
        latencyMs,
        () -> {
          for (Upstream upstream : reportedCold.values()) {
            if (!leader.isRamping(upstream.id())) {
              leader.startRamp(upstream, rampStepMs);
            }
          }
          Map<String, Integer> granted = new HashMap<>();
          for (String id : requestedIds) {
            int wanted =
                used.getOrDefault(id, 0)
                    + Math.min(MAX_ADDITIONAL_SLOTS, demand.getOrDefault(id, 0));
            granted.put(id, leader.grant(vm, id, used.getOrDefault(id, 0), wanted));
          }
          Set<String> newRampingIds = leader.rampingIds();
          queue.schedule(
              latencyMs, () -> receiveGrants(sentAtMs, granted, newRampingIds, reportedCold));
        });
  }

  private void receiveGrants(
      double sentAtMs,
      Map<String, Integer> granted,
      Set<String> newRampingIds,
      Map<String, Upstream> reportedCold) {
    granted.forEach(
        (id, slots) -> leases.put(id, new Lease(slots, sentAtMs + ColdAllowanceLeader.LEASE_MS)));
    leases.keySet().removeIf(id -> !newRampingIds.contains(id));
    rampingIds = newRampingIds;
    suspectedCold.keySet().removeAll(reportedCold.keySet());
  }
}
