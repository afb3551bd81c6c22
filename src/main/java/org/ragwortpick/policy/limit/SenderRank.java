package org.ragwortpick.policy.limit;

import java.util.List;
import org.ragwortpick.policy.select.Rendezvous;

/**
 * Rank of the local VM in an order of the VMs on which all of them agree without messages.
 *
 * @param rank number of VMs before it; {@link #NONE} if it is none of them
 * @param vms number of VMs
 */
public record SenderRank(int rank, int vms) {

  /** Rank of a VM that is not among them. */
  public static final int NONE = Integer.MAX_VALUE;

  /**
   * Ranks by rendezvous hashing, so that each upstream has other VMs in front.
   *
   * @param upstreamId id of the upstream
   * @param vm name of the local VM
   * @param vms names of the VMs
   * @return the rank
   */
  public static SenderRank byRendezvous(String upstreamId, String vm, List<String> vms) {
    if (!vms.contains(vm)) {
      return new SenderRank(NONE, vms.size());
    }
    long own = Rendezvous.score(upstreamId, vm);
    long before = vms.stream().filter(name -> Rendezvous.score(upstreamId, name) > own).count();
    return new SenderRank((int) before, vms.size());
  }

  /**
   * Ranks the VMs that send to an upstream anyway before the others, each by rendezvous hashing.
   *
   * @param upstreamId id of the upstream
   * @param vm name of the local VM
   * @param near names of the VMs of its data centre, which prefer it
   * @param others names of the other VMs
   * @return the rank
   */
  public static SenderRank nearFirst(
      String upstreamId, String vm, List<String> near, List<String> others) {
    int vms = near.size() + others.size();
    if (near.contains(vm)) {
      return new SenderRank(byRendezvous(upstreamId, vm, near).rank(), vms);
    }
    int rankAmongOthers = byRendezvous(upstreamId, vm, others).rank();
    return new SenderRank(rankAmongOthers == NONE ? NONE : near.size() + rankAmongOthers, vms);
  }

  /**
   * Ranks by a given order.
   *
   * @param vm name of the local VM
   * @param vms names of the VMs in their order
   * @return the rank
   */
  public static SenderRank in(String vm, List<String> vms) {
    int index = vms.indexOf(vm);
    return new SenderRank(index < 0 ? NONE : index, vms.size());
  }
}
