package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestPolicies;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.sync.Upstream;

/** Place for one attempt at an upstream. It is released exactly once. */
public final class UpstreamPlace {

  private final Upstream upstream;
  private final RequestPolicies policies;
  private boolean released;

  /**
   * Creates a place that was acquired from the limiter and the allowances.
   *
   * @param upstream the upstream
   * @param policies policies to release it to
   */
  UpstreamPlace(Upstream upstream, RequestPolicies policies) {
    this.upstream = upstream;
    this.policies = policies;
  }

  /**
   * Returns the upstream.
   *
   * @return the upstream
   */
  public Upstream upstream() {
    return upstream;
  }

  /**
   * Gives the place back and reports the upstream if it behaves as in cold start.
   *
   * @param result how the attempt ended
   * @param firstByteMs time until the first byte in milliseconds; negative if none arrived
   * @throws IllegalStateException if the place was released before
   */
  public void release(AttemptResult result, long firstByteMs) {
    synchronized (this) {
      Invariants.check(!released, "a place at an upstream was released twice");
      released = true;
    }
    policies.limiter().release(upstream, result, firstByteMs);
    policies.allowances().release(upstream);
    if (result == AttemptResult.REFUSED || policies.limiter().looksCold(upstream)) {
      policies.allowances().reportCold(upstream);
    }
  }
}
