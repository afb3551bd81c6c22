package org.ragwortpick.standin;

import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.ServiceKind;

/**
 * One upstream that a stand-in process plays.
 *
 * @param id unique identity
 * @param kind kind of work
 * @param service service to which it belongs
 * @param dataCentre data centre in which it claims to run
 * @param address HTTP address
 * @param slots requests that it runs at once when warm
 * @param coldLimit requests that it bears at once in cold start
 * @param coldMs length of the cold start in milliseconds
 * @param executeMs time of one call, or until the first token, in milliseconds
 * @param tokenMs time between two tokens of an idle engine in milliseconds
 * @param model loaded model; empty for a plain service
 * @param version loaded version
 * @param adapters loaded adapters
 * @param checksFencing whether orders with an old fencing token are refused
 * @param reportLagMs age of the load that is reported, in milliseconds
 */
public record UpstreamSpec(
    String id,
    ServiceKind kind,
    String service,
    String dataCentre,
    HostPort address,
    int slots,
    int coldLimit,
    long coldMs,
    long executeMs,
    long tokenMs,
    String model,
    String version,
    List<String> adapters,
    boolean checksFencing,
    long reportLagMs) {

  /** Replaces absent lists and texts by empty ones. */
  public UpstreamSpec {
    model = model == null ? "" : model;
    version = version == null ? "" : version;
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }
}
