package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestPolicies;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.sync.Upstream;

/** Slot for one attempt at an upstream. It is released exactly once. */
public final class UpstreamSlot {

  private final Upstream upstream;
  private final RequestPolicies policies;
  private boolean released;

  /**
   * Creates a slot that was acquired from the limiter and the cold allowances.
   *
   * @param upstream the upstream
   * @param policies policies to which the slot is released
   */
  UpstreamSlot(Upstream upstream, RequestPolicies policies) {
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
   * Releases the slot, and reports the upstream if it behaves as in cold start.
   *
   * @param result how the attempt ended
   * @param firstByteMs time until the first byte in milliseconds; negative if none arrived
   * @throws IllegalStateException if the slot was released before
   */
  public void release(AttemptResult result, long firstByteMs) {
    synchronized (this) {
      Invariants.check(!released, "a slot of an upstream was released twice");
      released = true;
    }
    boolean pauseRequested =
        result == AttemptResult.REFUSED && policies.pauses().isPaused(upstream);
    // A requested pause is no evidence of overload or of a cold start.
    AttemptResult evidence = pauseRequested ? AttemptResult.CANCELLED : result;
    policies.limiter().release(upstream, evidence, firstByteMs);
    policies.coldAllowances().release(upstream);
    if (evidence == AttemptResult.REFUSED || policies.limiter().looksCold(upstream)) {
      policies.coldAllowances().reportCold(upstream);
    }
  }
}
