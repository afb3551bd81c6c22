package org.ragwortpick.rollout;

import java.util.List;

/**
 * What one VM has sent to the upstreams of a service and got from them since the order of a
 * rollout.
 *
 * @param vm name of the VM
 * @param incarnation incarnation of the VM
 * @param sequence number that increases with each report of the incarnation
 * @param service name of the service
 * @param order revision of the order
 * @param moved whether the VM sends all requests to the new version
 * @param oldInFlight requests in flight at upstreams of other versions
 * @param sentOld requests sent to other versions
 * @param sentNew requests sent to the new version
 * @param routes responses by route
 */
public record VersionReport(
    String vm,
    long incarnation,
    long sequence,
    String service,
    long order,
    boolean moved,
    int oldInFlight,
    long sentOld,
    long sentNew,
    List<RouteCounts> routes) {

  /** Copies the list. */
  public VersionReport {
    routes = List.copyOf(routes);
  }

  /**
   * Returns this report with its sender.
   *
   * @param sender name of the VM
   * @param senderIncarnation incarnation of the VM
   * @param number sequence number
   * @return the report
   */
  public VersionReport from(String sender, long senderIncarnation, long number) {
    return new VersionReport(
        sender,
        senderIncarnation,
        number,
        service,
        order,
        moved,
        oldInFlight,
        sentOld,
        sentNew,
        routes);
  }

  /**
   * Returns whether this report replaces another one of the same VM and service.
   *
   * @param other the other report
   * @return whether it is newer
   */
  public boolean isNewerThan(VersionReport other) {
    return incarnation == other.incarnation
        ? sequence > other.sequence
        : incarnation > other.incarnation;
  }
}
