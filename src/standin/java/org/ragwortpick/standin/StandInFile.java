package org.ragwortpick.standin;

import java.util.List;
import org.ragwortpick.common.HostPort;

/**
 * Content of a stand-in file.
 *
 * @param entryVms caller addresses of the entry VMs to which the upstreams are announced
 * @param upstreams upstreams to simulate
 */
public record StandInFile(List<HostPort> entryVms, List<UpstreamSpec> upstreams) {

  /** Copies the lists. */
  public StandInFile {
    entryVms = List.copyOf(entryVms);
    upstreams = List.copyOf(upstreams);
  }
}
