package org.ragwortpick.policy.limit;

import java.util.List;
import org.ragwortpick.policy.select.Rendezvous;

/**
 * Rank of the local VM in an order of the VMs on which all of them agree without messages.
 *
 * @param rank number of VMs before it; {@link Integer#MAX_VALUE} if it is none of them
 * @param vms number of VMs
 */
public record SenderRank(int rank, int vms) {

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
      return new SenderRank(Integer.MAX_VALUE, vms.size());
    }
    long own = Rendezvous.score(upstreamId, vm);
    long before = vms.stream().filter(name -> Rendezvous.score(upstreamId, name) > own).count();
    return new SenderRank((int) before, vms.size());
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
    return new SenderRank(index < 0 ? Integer.MAX_VALUE : index, vms.size());
  }
}
