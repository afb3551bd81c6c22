package org.ragwortpick.standin;

import java.util.List;
import org.ragwortpick.common.HostPort;

/**
 * Content of a stand-in file.
 *
 * @param entryVms caller addresses of entry VMs to which the upstreams announce themselves
 * @param upstreams upstreams to play
 */
public record StandInFile(List<HostPort> entryVms, List<UpstreamSpec> upstreams) {

  /** Copies the lists. */
  public StandInFile {
    entryVms = List.copyOf(entryVms);
    upstreams = List.copyOf(upstreams);
  }
}
