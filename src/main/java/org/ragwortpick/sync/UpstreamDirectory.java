package org.ragwortpick.sync;

import java.util.List;
import java.util.Optional;

/** Directory of the upstreams of which the local VM has records. */
public interface UpstreamDirectory {

  /**
   * Lists the upstreams of a service that may receive new work: neither leaving nor lost.
   *
   * @param service name of the service
   * @return the upstreams, in no particular order
   */
  List<Upstream> upstreams(String service);

  /**
   * Finds an upstream in any state.
   *
   * @param id identity of the upstream
   * @return the upstream, or empty if there is no record of it
   */
  Optional<Upstream> find(String id);

  /**
   * Processes an announcement that an upstream sent to the local VM.
   *
   * @param announcement the announced record
   */
  void announce(Upstream announcement);
}
