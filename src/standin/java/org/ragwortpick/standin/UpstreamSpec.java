package org.ragwortpick.standin;

import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.ServiceKind;

/**
 * Specification of one upstream that a stand-in process simulates.
 *
 * @param id unique identity
 * @param kind kind of work
 * @param service name of its service
 * @param dataCentre data centre that it announces
 * @param address HTTP address
 * @param slots number of requests that it runs concurrently when warm
 * @param coldLimit highest number of concurrent requests in cold start without an overload
 * @param coldMs duration of the cold start in milliseconds
 * @param executeMs time of one call, or until the first token, in milliseconds
 * @param tokenMs time between two tokens of an engine without other load, in milliseconds
 * @param model loaded model; empty for a plain service
 * @param version loaded version
 * @param adapters loaded adapters
 * @param checksFencing whether orders with a stale fencing token are refused
 * @param reportLagMs age of the announced load in milliseconds
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

  /** Replaces an absent model, version or list of adapters by an empty one. */
  public UpstreamSpec {
    model = model == null ? "" : model;
    version = version == null ? "" : version;
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }
}
