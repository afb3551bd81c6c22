package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Configuration and announcements that one entry VM has received, both with a delay. */
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
   * Creates a view without upstreams.
   *
   * @param queue event queue
   * @param configuration configuration at the start
   */
  VmView(EventQueue queue, Configuration configuration) {
    this.queue = queue;
    this.configuration = configuration;
  }

  /**
   * Disconnects the VM from the control VMs, or reconnects it.
   *
   * @param isIsolated true to disconnect the VM
   */
  void setIsolated(boolean isIsolated) {
    isolated = isIsolated;
  }

  /**
   * Renews the configuration lease and applies the configuration if it is newer. Ignored while the
   * VM is isolated.
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
   * Receives the announcement of an upstream; older ones than the last are ignored.
   *
   * @param upstream the announcement
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

  /** Removes upstreams whose last announcement is too old. */
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
   * Lists all upstreams with a current announcement.
   *
   * @return the upstreams
   */
  List<Upstream> allUpstreams() {
    return new ArrayList<>(records.values());
  }

  /**
   * Returns the current configuration of the VM.
   *
   * @return newest configuration that the VM received
   */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Tells whether the configuration lease is valid.
   *
   * @return false if the configuration was last confirmed longer ago than the lease
   */
  boolean hasConfigurationLease() {
    return queue.sinceStartMs() - confirmedAtMs < CONFIGURATION_LEASE_MS;
  }
}
