package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Stand-in for the side of cold allowances of one VM. */
final class LeasedAllowances implements ColdAllowances {

  private static final int MAX_WANTED = 4;

  private final EventQueue queue;
  private final Leases leases;
  private final int vm;
  private final Map<String, Integer> inUse = new HashMap<>();
  private final Map<String, Integer> denied = new HashMap<>();
  private final Map<String, Lease> held = new HashMap<>();
  private final Map<String, Upstream> suspected = new HashMap<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private Set<String> ramping = Set.of();
  private Set<String> returning = Set.of();

  private record Lease(int places, double expiresAtMs) {}

  /**
   * Creates allowances without leases.
   *
   * @param queue event queue
   * @param leases the leader
   * @param vm number of the VM
   */
  LeasedAllowances(EventQueue queue, Leases leases, int vm) {
    this.queue = queue;
    this.leases = leases;
    this.vm = vm;
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    String id = upstream.id();
    int used = inUse.getOrDefault(id, 0);
    if (needsLease(upstream)) {
      Lease lease = held.get(id);
      boolean allowed =
          lease != null && queue.sinceStartMs() < lease.expiresAtMs && used < lease.places;
      if (!allowed) {
        denied.merge(id, 1, Integer::sum);
        return false;
      }
    }
    inUse.put(id, used + 1);
    return true;
  }

  private boolean needsLease(Upstream upstream) {
    long known = incarnations.getOrDefault(upstream.id(), upstream.incarnation());
    incarnations.put(upstream.id(), Math.max(known, upstream.incarnation()));
    if (upstream.incarnation() > known) {
      suspected.putIfAbsent(upstream.id(), upstream);
    }
    return upstream.state() == UpstreamState.COLD
        || suspected.containsKey(upstream.id())
        || ramping.contains(upstream.id())
        || returning.contains(upstream.dataCentre());
  }

  @Override
  public void release(Upstream upstream) {
    inUse.computeIfPresent(upstream.id(), (id, used) -> used > 1 ? used - 1 : null);
  }

  @Override
  public void reportCold(Upstream upstream) {
    suspected.putIfAbsent(upstream.id(), upstream);
  }

  /**
   * Sets the data centres whose upstreams ramp up as if cold.
   *
   * @param dataCentres names of the data centres
   */
  void setReturning(Set<String> dataCentres) {
    returning = dataCentres;
  }

  /**
   * Exchanges demand and grants with the leader.
   *
   * @param latencyMs one-way latency in milliseconds
   * @param rampStepMs time after which the total of a ramp doubles
   */
  void sync(double latencyMs, long rampStepMs) {
    double sentAtMs = queue.sinceStartMs();
    Map<String, Upstream> reported = new HashMap<>(suspected);
    Map<String, Integer> demand = new HashMap<>(denied);
    denied.clear();
    Set<String> asked = new HashSet<>(demand.keySet());
    asked.addAll(held.keySet());
    Map<String, Integer> used = new HashMap<>(inUse);
    // A place that is given back must not be used while the request travels.
    held.replaceAll((id, lease) -> new Lease(used.getOrDefault(id, 0), lease.expiresAtMs));
    queue.after(
        latencyMs,
        () -> {
          for (Upstream upstream : reported.values()) {
            if (!leases.isRamping(upstream.id())) {
              leases.startRamp(upstream, rampStepMs);
            }
          }
          Map<String, Integer> granted = new HashMap<>();
          for (String id : asked) {
            int wanted =
                used.getOrDefault(id, 0) + Math.min(MAX_WANTED, demand.getOrDefault(id, 0));
            granted.put(id, leases.grant(vm, id, used.getOrDefault(id, 0), wanted));
          }
          Set<String> nowRamping = leases.ramping();
          queue.after(latencyMs, () -> receive(sentAtMs, granted, nowRamping, reported));
        });
  }

  private void receive(
      double sentAtMs,
      Map<String, Integer> granted,
      Set<String> nowRamping,
      Map<String, Upstream> reported) {
    granted.forEach((id, places) -> held.put(id, new Lease(places, sentAtMs + Leases.LEASE_MS)));
    held.keySet().removeIf(id -> !nowRamping.contains(id));
    ramping = nowRamping;
    suspected.keySet().removeAll(reported.keySet());
  }
}
