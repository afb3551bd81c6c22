package org.ragwortpick.forward;

import java.util.Map;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;

/** Provides one upstream for each of the services a, b and c, each in a separate data centre. */
final class UpstreamPerDataCentre {

  private static final Map<String, Integer> NUMBERS = Map.of("a", 1, "b", 2, "c", 3);

  private UpstreamPerDataCentre() {}

  static Upstream upstream(String service) {
    return TestUpstreams.ready(
        service, service, new HostPort("10.0.0." + NUMBERS.get(service), 80), "dc-" + service);
  }
}
