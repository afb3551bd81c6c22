package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** What one entry VM has been told: a configuration and upstream records, both late. */
final class VmView {

  private static final double CONFIGURATION_LEASE_MS = 4_000;
  private static final double LOST_AFTER_MS = 3_500;

  private final EventQueue queue;
  private final Map<String, Upstream> records = new HashMap<>();
  private final Map<String, Double> receivedAtMs = new HashMap<>();
  private final Map<String, List<Upstream>> usableByService = new HashMap<>();
  private Configuration configuration;
  private double confirmedAtMs;
  private boolean isolated;

  /**
   * Creates a view.
   *
   * @param queue event queue
   * @param configuration configuration at the start
   */
  VmView(EventQueue queue, Configuration configuration) {
    this.queue = queue;
    this.configuration = configuration;
  }

  /**
   * Cuts the VM off from the control VMs or connects it again.
   *
   * @param isIsolated whether it is cut off
   */
  void setIsolated(boolean isIsolated) {
    isolated = isIsolated;
  }

  /**
   * Receives a configuration unless the VM is isolated.
   *
   * @param newConfiguration the configuration
   */
  void receive(Configuration newConfiguration) {
    if (isolated) {
      return;
    }
    confirmedAtMs = queue.sinceStartMs();
    if (newConfiguration.revision() > configuration.revision()) {
      configuration = newConfiguration;
      usableByService.clear();
    }
  }

  /**
   * Receives the record of an upstream.
   *
   * @param upstream the record
   */
  void receive(Upstream upstream) {
    Upstream current = records.get(upstream.id());
    boolean isNewer =
        current == null
            || upstream.incarnation() > current.incarnation()
            || upstream.incarnation() == current.incarnation()
                && upstream.sequence() > current.sequence();
    if (isNewer) {
      records.put(upstream.id(), upstream);
      receivedAtMs.put(upstream.id(), queue.sinceStartMs());
      usableByService.remove(upstream.service());
    }
  }

  /** Drops the records of upstreams that have been silent. */
  void dropLostUpstreams() {
    double lostBeforeMs = queue.sinceStartMs() - LOST_AFTER_MS;
    if (receivedAtMs.values().removeIf(atMs -> atMs < lostBeforeMs)) {
      records.keySet().retainAll(receivedAtMs.keySet());
      usableByService.clear();
    }
  }

  /**
   * Lists the upstreams of a service that may receive work.
   *
   * @param service name of the service
   * @return the upstreams
   */
  List<Upstream> upstreams(String service) {
    return usableByService.computeIfAbsent(
        service,
        name ->
            records.values().stream()
                .filter(upstream -> upstream.service().equals(name))
                .filter(upstream -> upstream.state() != UpstreamState.LEAVING)
                .filter(upstream -> configuration.takesWork(upstream.dataCentre()))
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList());
  }

  /**
   * Lists all known upstreams.
   *
   * @return the upstreams
   */
  List<Upstream> allUpstreams() {
    return new ArrayList<>(records.values());
  }

  /**
   * Returns the configuration.
   *
   * @return newest received configuration
   */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Tells whether the configuration was confirmed lately.
   *
   * @return false if the VM must not start work
   */
  boolean hasConfigurationLease() {
    return queue.sinceStartMs() - confirmedAtMs < CONFIGURATION_LEASE_MS;
  }
}
