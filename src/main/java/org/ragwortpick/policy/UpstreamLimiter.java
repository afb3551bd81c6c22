package org.ragwortpick.policy;

import org.ragwortpick.sync.Upstream;

/** Limits the requests in flight at each upstream and judges upstreams by their behaviour. */
public interface UpstreamLimiter {

  /**
   * Takes a place at an upstream.
   *
   * @param upstream the upstream
   * @return true if the request may be sent; each true result needs one {@link #release}
   */
  boolean tryAcquire(Upstream upstream);

  /**
   * Gives back a place and records how the attempt ended.
   *
   * @param upstream the upstream
   * @param result how the attempt ended
   * @param firstByteMs time until the first byte in milliseconds; negative if none arrived
   */
  void release(Upstream upstream, AttemptResult result, long firstByteMs);

  /**
   * Describes an upstream for selection.
   *
   * @param upstream the upstream
   * @return the candidate with the local counts
   */
  Candidate describe(Upstream upstream);

  /**
   * Tells whether the recent behaviour of an upstream is that of a cold start.
   *
   * @param upstream the upstream
   * @return true if it behaves as in cold start
   */
  boolean looksCold(Upstream upstream);
}
