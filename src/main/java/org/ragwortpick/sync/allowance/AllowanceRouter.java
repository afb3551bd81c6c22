package org.ragwortpick.sync.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Passes demands of other VMs towards the leader and grants back on the same way. */
public final class AllowanceRouter {

  /** Grants kept for VMs that have not polled; a lease of 2,000 ms is void by then. */
  private static final int MAX_GRANTS_KEPT = 10_000;

  private final Map<Key, Demand> demands = new LinkedHashMap<>();
  private final Map<String, String> viaVm = new HashMap<>();
  private final Map<String, Map<Key, Grant>> grantsByVm = new HashMap<>();

  /** Creates a router without demands. */
  public AllowanceRouter() {}

  /**
   * Takes demands to pass on with the next poll; a newer demand replaces an older one.
   *
   * @param fromVm VM that polled with them
   * @param received the demands
   */
  public synchronized void receive(String fromVm, List<Demand> received) {
    for (Demand demand : received) {
      viaVm.put(demand.holder(), fromVm);
      Key key = new Key(demand.holder(), demand.upstream());
      Demand known = demands.get(key);
      if (known == null || known.sentAtMs() <= demand.sentAtMs()) {
        demands.put(key, demand);
      }
    }
  }

  /**
   * Removes and returns the demands to pass on.
   *
   * @return the demands
   */
  public synchronized List<Demand> takeDemands() {
    List<Demand> taken = new ArrayList<>(demands.values());
    demands.clear();
    return taken;
  }

  /**
   * Keeps a grant until the VM from which its demand came polls again.
   *
   * @param grant the grant
   */
  public synchronized void route(Grant grant) {
    String via = viaVm.get(grant.holder());
    if (via != null) {
      Map<Key, Grant> grants = grantsByVm.computeIfAbsent(via, vm -> new LinkedHashMap<>());
      if (grants.size() >= MAX_GRANTS_KEPT) {
        grants.clear();
      }
      grants.merge(
          new Key(grant.holder(), grant.upstream()),
          grant,
          (old, now) -> old.stamp().compareTo(now.stamp()) > 0 ? old : now);
    }
  }

  /**
   * Removes and returns the grants for a VM that polls.
   *
   * @param vm name of the VM
   * @return the grants for it and for the VMs that poll it
   */
  public synchronized List<Grant> takeGrants(String vm) {
    Map<Key, Grant> grants = grantsByVm.remove(vm);
    return grants == null ? List.of() : List.copyOf(grants.values());
  }

  private record Key(String holder, String upstream) {}
}
