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
   * @param upstream record with which the upstream was selected
   * @return false if the configuration is not in force, the data centre is out, or the upstream is
   *     leaving, lost, or has started again since its record was read
   */
  public boolean maySend(Upstream upstream) {
    return dependencies.view().isInForce()
        && dependencies.view().current().takesWork(upstream.dataCentre())
        && dependencies
            .directory()
            .find(upstream.id())
            .filter(known -> isSameStart(upstream, known))
            .isPresent();
  }

  /** A place that was taken from a warm upstream does not count once it is cold again. */
  private static boolean isSameStart(Upstream selected, Upstream known) {
    return known.incarnation() == selected.incarnation()
        && (known.state() == UpstreamState.READY
            || known.state() == UpstreamState.COLD && selected.state() == UpstreamState.COLD);
  }
}
