package org.ragwortpick.forward;

import java.util.List;
import java.util.Map;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** One upstream for each of the services a, b and c, each in a data centre of its own. */
final class TestPlaces {

  private static final Map<String, Integer> NUMBERS = Map.of("a", 1, "b", 2, "c", 3);

  private TestPlaces() {}

  static Upstream upstream(String service) {
    return new Upstream(
        service,
        1,
        1,
        new HostPort("10.0.0." + NUMBERS.get(service), 80),
        "dc-" + service,
        service,
        "",
        "",
        List.of(),
        UpstreamState.READY,
        1,
        1,
        0,
        false);
  }
}
