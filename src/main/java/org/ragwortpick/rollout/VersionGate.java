package org.ragwortpick.rollout;

import org.ragwortpick.sync.Upstream;

/** Tells which upstreams may get the next request, as far as their version decides. */
public interface VersionGate {

  /** Gate of a service without rollouts. */
  VersionGate OPEN =
      new VersionGate() {
        @Override
        public boolean admits(Upstream upstream) {
          return true;
        }

        @Override
        public boolean isDue(Upstream upstream) {
          return false;
        }
      };

  /**
   * Returns whether an upstream may get the next request.
   *
   * @param upstream the upstream
   * @return false if its version gets none, or has had its share
   */
  boolean admits(Upstream upstream);

  /**
   * Returns whether the next request should go to the version of an upstream.
   *
   * @param upstream the upstream
   * @return whether it is a new version whose share is not used up
   */
  boolean isDue(Upstream upstream);
}
