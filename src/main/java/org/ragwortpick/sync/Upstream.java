package org.ragwortpick.sync;

import java.util.List;
import org.ragwortpick.common.HostPort;

/**
 * Record of an upstream, as announced by it.
 *
 * @param id unique identity
 * @param incarnation number that increases with each start of the upstream
 * @param sequence number that increases with each announcement of an incarnation
 * @param address HTTP address
 * @param dataCentre data centre in which it runs
 * @param service service to which it belongs
 * @param model loaded model; empty for a plain service
 * @param version loaded version
 * @param adapters loaded adapters
 * @param state announced state, or the state in which the local VM offers it
 * @param slots requests that it can run at once when warm
 * @param coldLimit requests that it can run at once in cold start
 * @param load requests that it ran at the time of the announcement
 * @param checksFencing whether it refuses orders with an old fencing token; false if unknown
 */
public record Upstream(
    String id,
    long incarnation,
    long sequence,
    HostPort address,
    String dataCentre,
    String service,
    String model,
    String version,
    List<String> adapters,
    UpstreamState state,
    int slots,
    int coldLimit,
    int load,
    boolean checksFencing) {

  /** Replaces absent lists and strings by empty ones. */
  public Upstream {
    model = model == null ? "" : model;
    version = version == null ? "" : version;
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /**
   * Returns how many requests it can run at once in its state.
   *
   * @return its slots, or its cold limit in cold start; at least 1
   */
  public int concurrency() {
    return Math.max(1, state == UpstreamState.COLD ? coldLimit : slots);
  }
}
