package org.ragwortpick.policy;

import org.ragwortpick.sync.Upstream;

/** Limits the requests in flight at each upstream and detects cold upstreams by their responses. */
public interface UpstreamLimiter {

  /**
   * Acquires a slot of an upstream.
   *
   * @param upstream the upstream
   * @return true if the request may be sent; each true result needs one {@link #release}
   */
  boolean tryAcquire(Upstream upstream);

  /**
   * Releases a slot and records how the attempt ended.
   *
   * @param upstream the upstream
   * @param result how the attempt ended
   * @param firstByteMs time until the first byte in milliseconds; negative if none arrived
   */
  void release(Upstream upstream, AttemptResult result, long firstByteMs);

  /**
   * Returns an upstream as a candidate for selection.
   *
   * @param upstream the upstream
   * @return the candidate with its local counts
   */
  Candidate describe(Upstream upstream);

  /**
   * Tells whether recent responses of an upstream indicate a cold start.
   *
   * @param upstream the upstream
   * @return true if refusals without load, timeouts or slow responses indicate a cold start
   */
  boolean looksCold(Upstream upstream);
}
