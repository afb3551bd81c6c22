package org.ragwortpick.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/**
 * Addresses from the directory of VMs: ready VMs in data centres that take work, the own data
 * centre first, and lightly loaded ones mostly before others.
 */
public final class DirectoryAddressSource implements AddressSource {

  /** Callers follow a change of the directory after this time; a leaving VM listens for longer. */
  private static final int VALID_FOR_SECONDS = 3;

  private final VmDirectory directory;
  private final ConfigurationView view;
  private final String dataCentre;
  private final RandomGenerator random;

  /**
   * Creates a source.
   *
   * @param directory VMs of this system
   * @param view configuration
   * @param dataCentre data centre of the local VM
   * @param random source of chance, used by many threads
   */
  public DirectoryAddressSource(
      VmDirectory directory, ConfigurationView view, String dataCentre, RandomGenerator random) {
    this.random = random;
    this.directory = directory;
    this.view = view;
    this.dataCentre = dataCentre;
  }

  @Override
  public AddressAnswer addresses() {
    List<VmRecord> usable = new ArrayList<>(directory.vms());
    usable.removeIf(
        vm -> vm.state() != VmState.READY || !view.current().takesWork(vm.dataCentre()));
    int maxLoad = usable.stream().mapToInt(VmRecord::load).max().orElse(0);
    // Many callers ask between two load reports. Without chance they would all get the same VM.
    List<HostPort> addresses =
        usable.stream()
            .map(vm -> new Ranked(vm, vm.load() + random.nextInt(maxLoad + 1) + random.nextFloat()))
            .sorted(
                Comparator.comparing((Ranked ranked) -> !isOwn(ranked.vm()))
                    .thenComparingDouble(Ranked::rank))
            .map(ranked -> ranked.vm().callerAddress())
            .toList();
    return new AddressAnswer(addresses, VALID_FOR_SECONDS);
  }

  private boolean isOwn(VmRecord vm) {
    return vm.dataCentre().equals(dataCentre);
  }

  private record Ranked(VmRecord vm, double rank) {}
}
