package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Last check before work is sent to an upstream. */
public final class DispatchGate {

  private final EntryDependencies dependencies;

  /**
   * Creates a gate.
   *
   * @param dependencies what all requests share
   */
  public DispatchGate(EntryDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Tells whether an upstream may be sent new work at this moment.
   *
   * @param upstream the upstream
   * @return false if the configuration is not in force, the data centre is out, or the upstream is
   *     leaving or lost
   */
  public boolean maySend(Upstream upstream) {
    return dependencies.view().isInForce()
        && dependencies.view().current().takesWork(upstream.dataCentre())
        && dependencies
            .directory()
            .find(upstream.id())
            .map(known -> known.state())
            .filter(state -> state == UpstreamState.READY || state == UpstreamState.COLD)
            .isPresent();
  }
}
