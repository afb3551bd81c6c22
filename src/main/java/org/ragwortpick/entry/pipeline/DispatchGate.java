package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/**
 * Checks immediately before sending whether an upstream may receive new work, and takes in what
 * upstreams state about that in their responses.
 */
public final class DispatchGate {

  private final EntryDependencies dependencies;

  /**
   * Creates a gate.
   *
   * @param dependencies components that all requests share
   */
  public DispatchGate(EntryDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Tells whether an upstream may be sent new work at this moment.
   *
   * @param upstream record from which the upstream was selected
   * @return false if the configuration is not in force, the data centre is out, or the upstream is
   *     leaving, paused, lost, or has started again since its record was read
   */
  public boolean maySend(Upstream upstream) {
    return dependencies.configurationView().isInForce()
        && dependencies.configurationView().current().takesWork(upstream.dataCentre())
        && dependencies
            .directory()
            .find(upstream.id())
            .filter(current -> isSlotStillValid(upstream, current))
            .isPresent()
        && !dependencies.policies().leaving().isLeaving(upstream)
        && !dependencies.policies().pauses().isPaused(upstream);
  }

  /**
   * Records what an upstream states about itself in a response that belongs to its attempt.
   *
   * @param upstream record of the upstream to which the request was sent
   * @param head head of the response
   */
  public void recordHead(Upstream upstream, UpstreamHead head) {
    if (head.leaving()) {
      dependencies.policies().leaving().record(upstream);
    }
    if (head.requestsPause()) {
      dependencies.policies().pauses().record(upstream, head.retryAfterMs());
    }
  }

  /** A slot acquired from a warm upstream is not valid once the upstream is cold again. */
  private static boolean isSlotStillValid(Upstream selected, Upstream current) {
    return current.incarnation() == selected.incarnation()
        && (current.state() == UpstreamState.READY
            || current.state() == UpstreamState.COLD && selected.state() == UpstreamState.COLD);
  }
}
