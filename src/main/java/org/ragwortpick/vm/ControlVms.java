package org.ragwortpick.vm;

import java.util.List;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmRecord;

/** Addresses of the control VMs with a disk: those of the directory, or the seeds without one. */
final class ControlVms implements Supplier<List<HostPort>> {

  private final VmDirectory directory;
  private final Supplier<List<HostPort>> seeds;

  /**
   * Creates an instance.
   *
   * @param directory directory of the VMs
   * @param seeds supplies the addresses of the settings
   */
  ControlVms(VmDirectory directory, Supplier<List<HostPort>> seeds) {
    this.directory = directory;
    this.seeds = seeds;
  }

  @Override
  public List<HostPort> get() {
    List<HostPort> known =
        directory.vms().stream().filter(VmRecord::control).map(VmRecord::peerAddress).toList();
    return known.isEmpty() ? seeds.get() : known;
  }
}
