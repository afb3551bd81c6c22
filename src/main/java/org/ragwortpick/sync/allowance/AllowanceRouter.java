package org.ragwortpick.sync.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Relays demands of other VMs towards the leader and returns grants along the same path. */
public final class AllowanceRouter {

  /**
   * Maximum number of grants kept for a VM that does not poll. Beyond it all are dropped, because
   * their leases of 2,000 ms have expired by then.
   */
  private static final int MAX_GRANTS_PER_VM = 10_000;

  private final Map<Key, Demand> demands = new LinkedHashMap<>();
  private final Map<String, String> relayByHolder = new HashMap<>();
  private final Map<String, Map<Key, Grant>> grantsByVm = new HashMap<>();

  /** Creates a router without demands. */
  public AllowanceRouter() {}

  /**
   * Stores demands to relay with the next poll; a newer demand replaces an older one.
   *
   * @param fromVm VM whose poll contained them
   * @param received the demands
   */
  public synchronized void receive(String fromVm, List<Demand> received) {
    for (Demand demand : received) {
      relayByHolder.put(demand.holder(), fromVm);
      Key key = new Key(demand.holder(), demand.upstream());
      Demand stored = demands.get(key);
      if (stored == null || stored.sentAtMs() <= demand.sentAtMs()) {
        demands.put(key, demand);
      }
    }
  }

  /**
   * Removes and returns the demands to relay.
   *
   * @return the demands
   */
  public synchronized List<Demand> takeDemands() {
    List<Demand> taken = new ArrayList<>(demands.values());
    demands.clear();
    return taken;
  }

  /**
   * Stores a grant until the VM that relayed its demand polls again.
   *
   * @param grant the grant
   */
  public synchronized void route(Grant grant) {
    String relay = relayByHolder.get(grant.holder());
    if (relay != null) {
      Map<Key, Grant> grants = grantsByVm.computeIfAbsent(relay, vm -> new LinkedHashMap<>());
      if (grants.size() >= MAX_GRANTS_PER_VM) {
        grants.clear();
      }
      grants.merge(
          new Key(grant.holder(), grant.upstream()),
          grant,
          (stored, incoming) -> stored.stamp().compareTo(incoming.stamp()) > 0 ? stored : incoming);
    }
  }

  /**
   * Removes and returns the grants to return to a polling VM.
   *
   * @param vm name of the VM
   * @return the grants for it and for the VMs whose demands it relayed
   */
  public synchronized List<Grant> takeGrants(String vm) {
    Map<Key, Grant> grants = grantsByVm.remove(vm);
    return grants == null ? List.of() : List.copyOf(grants.values());
  }

  private record Key(String holder, String upstream) {}
}
