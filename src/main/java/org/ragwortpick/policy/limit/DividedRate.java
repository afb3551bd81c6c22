package org.ragwortpick.policy.limit;

/**
 * Division of the request rate of an upstream among the VMs that may send to it.
 *
 * @param senders number of VMs that may send
 * @param requestsPerSecond rate of each of them
 * @param burst most requests that one of them sends at once
 */
public record DividedRate(int senders, double requestsPerSecond, double burst) {

  /** Most requests that one VM with one request a second sends in any one second. */
  private static final int MAX_COLD_REQUESTS_PER_VM = 2;

  /** Part of a named limit that is used while all VMs agree; the rest covers their disagreement. */
  private static final double NAMED_LIMIT_USE = 0.9;

  /**
   * Divides the rate of a cold upstream, which must hold in any one second.
   *
   * @param requestsPerSecond rate that the upstream can handle from all VMs
   * @return one request a second for each of a number of VMs
   */
  public static DividedRate ofColdUpstream(double requestsPerSecond) {
    return new DividedRate(
        (int) Math.max(1, requestsPerSecond / MAX_COLD_REQUESTS_PER_VM), 1.0, 1.0);
  }

  /**
   * Divides a limit that an upstream named. A VM may send a burst of one request, or of its rate in
   * one second, so the fewer VMs share a small limit, the less their bursts add to it.
   *
   * @param requestsPerSecond rate that the upstream takes from all VMs
   * @param vms number of VMs
   * @return the division, with one VM for each request a second at most
   */
  public static DividedRate ofNamedLimit(double requestsPerSecond, int vms) {
    int senders = (int) Math.max(1, Math.min(vms, requestsPerSecond));
    double rate = NAMED_LIMIT_USE * requestsPerSecond / senders;
    return new DividedRate(senders, rate, Math.max(1, rate));
  }

  /**
   * Returns whether a VM is one of those that may send.
   *
   * @param rank rank of the VM
   * @return whether it has a part of the rate
   */
  public boolean hasPart(SenderRank rank) {
    return rank.rank() < senders;
  }
}
