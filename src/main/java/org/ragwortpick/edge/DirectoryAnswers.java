package org.ragwortpick.edge;

import java.util.List;
import org.ragwortpick.common.HostPort;

/** Addresses that callers may use. */
public interface DirectoryAnswers {

  /**
   * Returns the addresses.
   *
   * @return addresses of VMs that take callers; empty if none is known
   */
  List<HostPort> addresses();

  /**
   * Returns how long callers may keep an answer.
   *
   * @return time in seconds
   */
  long validitySeconds();
}
