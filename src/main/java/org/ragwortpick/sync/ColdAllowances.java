package org.ragwortpick.sync;

/** Shares of the requests that upstreams in cold start bear, leased to the local VM. */
public interface ColdAllowances {

  /**
   * Takes a place for one request if the upstream is warm or the leased share has one left.
   *
   * @param upstream upstream that would run the request
   * @return true if the request may be sent; each true result needs one {@link #release}
   */
  boolean tryAcquire(Upstream upstream);

  /**
   * Gives back the place of a request that ended.
   *
   * @param upstream upstream that ran the request
   */
  void release(Upstream upstream);

  /**
   * Reports that an upstream behaves as in cold start, so that its ramp starts again on all VMs.
   *
   * @param upstream the upstream
   */
  void reportCold(Upstream upstream);
}
