package org.ragwortpick.forward;

import java.util.List;
import java.util.stream.Stream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/** Records of other VMs to which a test lets a server relay requests. */
final class TestPeers {

  private TestPeers() {}

  /** Creates records of ready VMs that reach upstreams. */
  static List<VmRecord> ready(HostPort... addresses) {
    return Stream.of(addresses).map(TestPeers::ready).toList();
  }

  private static VmRecord ready(HostPort address) {
    return new VmRecord(
        address.toString(), 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
  }
}
