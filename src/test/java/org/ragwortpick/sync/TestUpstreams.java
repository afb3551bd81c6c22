package org.ragwortpick.sync;

import java.util.List;
import org.ragwortpick.common.HostPort;

/** Upstream records for tests. */
public final class TestUpstreams {

  private TestUpstreams() {}

  /** Returns a ready upstream of a service to which requests are forwarded. */
  public static Upstream ready(String id, String service, HostPort address, String dataCentre) {
    return ready(id, service, address, dataCentre, 1, 1);
  }

  /** Returns a ready upstream with the given slots and cold limit. */
  public static Upstream ready(
      String id, String service, HostPort address, String dataCentre, int slots, int coldLimit) {
    return new Upstream(
        id,
        1,
        1,
        address,
        dataCentre,
        service,
        "",
        "",
        List.of(),
        UpstreamState.READY,
        slots,
        coldLimit,
        0,
        false);
  }

  /** Returns one incarnation of a ready upstream of a service. */
  public static Upstream upstream(String id, String service, long incarnation) {
    return new Upstream(
        id,
        incarnation,
        1,
        new HostPort("10.1.2.3", 9_000),
        "norte-a",
        service,
        "",
        "",
        List.of(),
        UpstreamState.READY,
        16,
        2,
        0,
        false);
  }

  public static Upstream upstream(
      String id, long incarnation, long sequence, UpstreamState state, int load) {
    return upstream(id, incarnation, sequence, state, load, 2, 16);
  }

  public static Upstream upstream(
      String id,
      long incarnation,
      long sequence,
      UpstreamState state,
      int load,
      int coldLimit,
      int slots) {
    return new Upstream(
        id,
        incarnation,
        sequence,
        new HostPort("10.1.2.3", 9_000),
        "norte-a",
        "tutor-lm",
        "tutor",
        "3",
        List.of("safety"),
        state,
        slots,
        coldLimit,
        load,
        true);
  }
}
