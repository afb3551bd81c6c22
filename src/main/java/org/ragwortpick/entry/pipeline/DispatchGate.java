package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Checks immediately before sending whether an upstream may receive new work. */
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
   *     leaving, lost, or has started again since its record was read
   */
  public boolean maySend(Upstream upstream) {
    return dependencies.configurationView().isInForce()
        && dependencies.configurationView().current().takesWork(upstream.dataCentre())
        && dependencies
            .directory()
            .find(upstream.id())
            .filter(current -> isSlotStillValid(upstream, current))
            .isPresent();
  }

  /** A slot acquired from a warm upstream is not valid once the upstream is cold again. */
  private static boolean isSlotStillValid(Upstream selected, Upstream current) {
    return current.incarnation() == selected.incarnation()
        && (current.state() == UpstreamState.READY
            || current.state() == UpstreamState.COLD && selected.state() == UpstreamState.COLD);
  }
}
