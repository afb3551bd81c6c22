package org.ragwortpick.sync;

/** Shares of the requests that upstreams can run in cold start, leased to the local VM. */
public interface ColdAllowances {

  /**
   * Acquires a slot for one request if the upstream is warm or the leased share has a free slot.
   *
   * @param upstream upstream that would run the request
   * @return true if the request may be sent; each true result needs one {@link #release}
   */
  boolean tryAcquire(Upstream upstream);

  /**
   * Releases the slot of a request that ended.
   *
   * @param upstream upstream that ran the request
   */
  void release(Upstream upstream);

  /**
   * Reports that an upstream behaves as in cold start, so that the leader restarts its ramp.
   *
   * @param upstream the upstream
   */
  void reportCold(Upstream upstream);
}
