package org.ragwortpick.policy;

import java.util.List;
import java.util.Optional;

/** Selects the upstream that runs a stage. */
public interface UpstreamSelector {

  /**
   * Selects an upstream.
   *
   * @param request criteria of the stage
   * @param candidates upstreams that may receive new work
   * @return the selected candidate, or empty if none is suitable
   */
  Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates);
}
