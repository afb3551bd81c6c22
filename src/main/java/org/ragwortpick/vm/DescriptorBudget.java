package org.ragwortpick.vm;

/**
 * Division of the file descriptors of a VM among its connections. Each connection of a caller needs
 * at most one more to an upstream while its request runs; the rest is left to other VMs.
 *
 * @param callerConnections number of connections that callers may use; not enforced when accepting
 * @param idleUpstreamConnections largest number of idle connections to upstreams
 */
record DescriptorBudget(int callerConnections, int idleUpstreamConnections) {

  /** Descriptors for files and listeners. */
  private static final int RESERVED = 200;

  private static final int CALLER_DIVISOR = 3;
  private static final int IDLE_DIVISOR = 4;

  /** Part of the caller connections from which they are closed after a response. */
  private static final double KEEP_PART = 0.75;

  /**
   * Divides the descriptors.
   *
   * @param maxFileDescriptors descriptors of the VM, more than those for files; 0 if not stated
   * @return the budget; without limits if they are not stated
   */
  static DescriptorBudget of(int maxFileDescriptors) {
    if (maxFileDescriptors == 0) {
      return new DescriptorBudget(Integer.MAX_VALUE, Integer.MAX_VALUE);
    }
    int available = maxFileDescriptors - RESERVED;
    return new DescriptorBudget(available / CALLER_DIVISOR, available / IDLE_DIVISOR);
  }

  /**
   * Returns whether connections of callers are kept after a response. Idle ones would otherwise
   * keep other callers from connecting.
   *
   * @param openConnections number of open connections of callers
   * @return false near the limit
   */
  boolean keepsCallerConnections(long openConnections) {
    return openConnections < KEEP_PART * callerConnections;
  }
}
