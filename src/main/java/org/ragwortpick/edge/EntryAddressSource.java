package org.ragwortpick.edge;

import java.util.List;
import org.ragwortpick.common.HostPort;

/** Source of the entry VM addresses that the directory gives to callers. */
public interface EntryAddressSource {

  /**
   * Returns the addresses that a caller is to use at this moment.
   *
   * @param caller address of the caller
   * @param limit largest number of addresses
   * @return addresses of VMs that accept requests of callers; empty if none is known
   */
  List<HostPort> addressesFor(String caller, int limit);

  /**
   * Returns the time for which callers may cache the addresses.
   *
   * @return time in seconds
   */
  long validitySeconds();
}
