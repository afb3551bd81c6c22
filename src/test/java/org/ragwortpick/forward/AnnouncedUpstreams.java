package org.ragwortpick.forward;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Upstreams that a test announced to a server. */
final class AnnouncedUpstreams {

  private static final String SERVICE = "s1";

  private final Map<String, Upstream> upstreams = new ConcurrentHashMap<>();

  /** Returns the upstreams of a service. */
  List<Upstream> of(String service) {
    return upstreams.values().stream().filter(u -> u.service().equals(service)).toList();
  }

  Upstream get(String id) {
    return upstreams.get(id);
  }

  void announce(Upstream upstream) {
    upstreams.put(upstream.id(), upstream);
  }

  void withdraw(String id) {
    upstreams.remove(id);
  }

  /** Announces an upstream of a software version. */
  void announceVersion(String version, String id, HostPort address) {
    announce(version, 1, UpstreamState.READY, TestUpstreams.ready(id, SERVICE, address, "dc"));
  }

  /** Announces an upstream of a software version that is cold and far away. */
  void announceColdVersion(String version, String id, HostPort address) {
    announce(version, 1, UpstreamState.COLD, TestUpstreams.ready(id, SERVICE, address, "dc2"));
  }

  /** Announces an upstream of a software version that is preferred, as it runs many requests. */
  void announceLargeVersion(String version, String id, HostPort address) {
    Upstream large = TestUpstreams.ready(id, SERVICE, address, "dc", 64, 1);
    announce(version, 1, UpstreamState.READY, large);
  }

  /** Announces a later start of an upstream under the id that it had. */
  void announceAgain(String id, long incarnation, HostPort address) {
    Upstream first = TestUpstreams.ready(id, SERVICE, address, "dc");
    announce("", incarnation, UpstreamState.READY, first);
  }

  private void announce(String version, long incarnation, UpstreamState state, Upstream first) {
    announce(
        new Upstream(
            first.id(),
            incarnation,
            1,
            first.address(),
            first.dataCentre(),
            first.service(),
            first.model(),
            version,
            first.adapters(),
            state,
            first.slots(),
            first.coldLimit(),
            first.load(),
            first.checksFencing()));
  }
}
