package org.ragwortpick.policy;

import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Upstream records for tests of the policy package. */
public final class TestUpstreams {

  public static final int SLOTS = 8;

  private TestUpstreams() {}

  public static Upstream ready(String id, String dataCentre, int load) {
    return record(id, dataCentre, 1, 1, load);
  }

  public static Upstream record(
      String id, String dataCentre, long incarnation, long sequence, int load) {
    return new Upstream(
        id,
        incarnation,
        sequence,
        new HostPort("10.0.0.1", 1),
        dataCentre,
        "engines",
        "m",
        "1",
        List.of(),
        UpstreamState.READY,
        SLOTS,
        2,
        load,
        true);
  }
}
