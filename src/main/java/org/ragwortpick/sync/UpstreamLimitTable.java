package org.ragwortpick.sync;

import java.util.List;
import java.util.Optional;

/** Request rates that upstreams named, which all VMs share. */
public interface UpstreamLimitTable {

  /**
   * Finds the record of an upstream.
   *
   * @param upstreamId id of the upstream
   * @return the newest record that has reached the local VM
   */
  Optional<UpstreamLimit> find(String upstreamId);

  /**
   * Lists the records of all upstreams.
   *
   * @return the records, of limits that have ended too
   */
  List<UpstreamLimit> all();

  /**
   * Adds a record and sends it to the other VMs without delay.
   *
   * @param limit the record
   */
  void add(UpstreamLimit limit);
}
