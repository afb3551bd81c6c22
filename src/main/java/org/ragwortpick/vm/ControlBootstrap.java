package org.ragwortpick.vm;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.consensus.ConsensusOptions;
import org.ragwortpick.control.ConfigurationStateMachine;
import org.ragwortpick.ledger.LedgerGroups;
import org.ragwortpick.settings.PeerVm;
import org.ragwortpick.settings.Settings;

/** Derives the consensus options, groups and peers from the settings of a control VM. */
public final class ControlBootstrap {

  private ControlBootstrap() {}

  /**
   * Derives the consensus options.
   *
   * @param settings settings of a control VM
   * @return the options
   */
  public static ConsensusOptions options(Settings settings) {
    return new ConsensusOptions(
        settings.vm(),
        settings.clusterId(),
        settings.dataFolder().orElseThrow(),
        peerAddresses(settings));
  }

  /**
   * Lists the names of all consensus groups.
   *
   * @param settings settings of a control VM
   * @return names of the groups
   */
  public static List<String> groupNames(Settings settings) {
    List<String> names = new ArrayList<>();
    names.add(ConfigurationStateMachine.GROUP);
    names.addAll(LedgerGroups.names(settings.limits().executionGroups()));
    return names;
  }

  /**
   * Maps the control VMs to their peer addresses.
   *
   * @param settings settings of a VM
   * @return peer addresses by VM name
   */
  static Map<String, HostPort> peerAddresses(Settings settings) {
    Map<String, HostPort> peerAddresses = new HashMap<>();
    for (PeerVm vm : settings.controlVms()) {
      peerAddresses.put(vm.vm(), vm.peerAddress());
    }
    return peerAddresses;
  }
}
