package org.ragwortpick.bench;

import org.ragwortpick.config.Configuration;
import org.ragwortpick.sync.Upstream;

/**
 * Model of an entry VM.
 *
 * @param queue event queue
 * @param dataCentre data centre of the VM
 * @param view configuration and upstreams that the VM has received
 * @param decisions policies of the VM
 * @param network upstreams and their latencies
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
   * Tells whether this VM accepts new requests.
   *
   * @return false if the VM refuses requests and refers the caller to other VMs
   */
  boolean acceptsRequests() {
    Configuration configuration = view.configuration();
    boolean leaseValid = !decisions.checksConfigurationLease() || view.hasConfigurationLease();
    return leaseValid && configuration.takesWork(dataCentre);
  }

  /**
   * Returns the one-way latency between this VM and an upstream.
   *
   * @param upstream the upstream
   * @return latency in milliseconds
   */
  double latencyMs(Upstream upstream) {
    return network.latencyMs(dataCentre, upstream.dataCentre());
  }
}
