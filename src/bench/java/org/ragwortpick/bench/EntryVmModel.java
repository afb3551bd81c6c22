package org.ragwortpick.bench;

import org.ragwortpick.config.Configuration;
import org.ragwortpick.sync.Upstream;

/**
 * Entry VM: runs requests through its decisions.
 *
 * @param queue event queue
 * @param dataCentre data centre of the VM
 * @param view what the VM knows
 * @param decisions decisions of the VM
 * @param network upstreams that can be reached
 * @param result counters of the run
 */
record EntryVmModel(
    EventQueue queue,
    String dataCentre,
    VmView view,
    Decisions decisions,
    Network network,
    RunResult result) {

  /**
   * Tells whether callers can use this VM now.
   *
   * @return false if it refuses with "not run" and other addresses
   */
  boolean acceptsRequests() {
    Configuration configuration = view.configuration();
    boolean leaseValid = !decisions.checksConfigurationLease() || view.hasConfigurationLease();
    return leaseValid && configuration.takesWork(dataCentre);
  }

  /**
   * Returns the one-way latency to an upstream.
   *
   * @param upstream the upstream
   * @return latency in milliseconds
   */
  double latencyMs(Upstream upstream) {
    return network.latencyMs(dataCentre, upstream.dataCentre());
  }
}
