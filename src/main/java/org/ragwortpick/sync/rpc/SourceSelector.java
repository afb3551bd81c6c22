package org.ragwortpick.sync.rpc;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.SyncIdentity.ControlVm;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmRecord;

/**
 * Selects the source of each poll: the leader for a control VM, otherwise a control VM of the local
 * data centre, then the other control VMs, then other entry VMs as relays.
 *
 * <p>While the source is a relay, or its confirmation lags, one other control VM is tried between
 * two polls of it. It becomes the source if its confirmation is fresh.
 */
public final class SourceSelector {

  /** Successful polls of another source after which the preferred one is tried again: 10 s. */
  private static final int POLLS_BEFORE_PREFERRED = 20;

  /** Maximum relays tried in a round; with more a round would outlast the configuration lease. */
  private static final int MAX_RELAYS = 6;

  private final SyncIdentity identity;
  private List<ControlVm> seeds;
  private final LeaderSource leader;
  private final VmDirectory vms;
  private List<HostPort> candidates = List.of();
  private HostPort current;
  private HostPort trial;
  private HostPort continued;

  /** Whether the next poll is a trial between two regular polls. */
  private boolean extraPoll;

  private int trials;
  private int pollsOfOtherSource;
  private int failedPolls;

  /**
   * Creates a selector.
   *
   * @param identity identity of the local VM and the VMs named in its settings
   * @param leader local control replica
   * @param vms VM directory
   */
  public SourceSelector(SyncIdentity identity, LeaderSource leader, VmDirectory vms) {
    this.identity = identity;
    this.seeds = identity.controlVms();
    this.leader = leader;
    this.vms = vms;
  }

  /**
   * Replaces the control VMs of the settings.
   *
   * @param changed control VMs to poll in addition to those of the directory
   */
  public synchronized void setSeeds(List<ControlVm> changed) {
    seeds = List.copyOf(changed);
  }

  /**
   * Returns the source of the next poll.
   *
   * @return peer address of the source
   * @throws IllegalStateException if neither the settings nor the directory name another VM
   */
  public synchronized HostPort nextSource() {
    candidates = candidates();
    if (candidates.isEmpty()) {
      throw new IllegalStateException(
          "neither the settings nor the directory name a VM to poll;"
              + " add control VMs or relays to the settings");
    }
    trial = null;
    HostPort continuing = continued;
    continued = null;
    if (continuing != null && candidates.contains(continuing)) {
      return continuing;
    }
    if (current == null || !candidates.contains(current)) {
      pollsOfOtherSource = 0;
      current = candidates.get(0);
    } else if (extraPoll) {
      trial = nextControlVm();
    } else if (pollsOfOtherSource >= POLLS_BEFORE_PREFERRED || leaderChanged()) {
      pollsOfOtherSource = 0;
      trial = candidates.get(0);
    }
    return trial == null ? current : trial;
  }

  /** Returns the control VM to try in place of the current source, or that source itself. */
  private HostPort nextControlVm() {
    List<HostPort> others =
        controlAddresses().stream().filter(address -> !address.equals(current)).toList();
    return others.isEmpty() ? current : others.get(trials++ % others.size());
  }

  private List<HostPort> controlAddresses() {
    return controlVms().stream()
        .map(ControlVm::peerAddress)
        .filter(address -> !address.equals(identity.peerAddress()))
        .toList();
  }

  private boolean leaderChanged() {
    return identity.isControl()
        && leader.leaderVm().isPresent()
        && failedPolls == 0
        && !candidates.get(0).equals(current);
  }

  /**
   * Makes the next poll go to a source that has more to send, before any other source is tried.
   *
   * @param source source whose last response was used
   */
  public synchronized void continueWith(HostPort source) {
    continued = source;
  }

  /**
   * Records a poll whose response was used.
   *
   * @param source polled source
   * @param quality age of its confirmation
   * @return true if a control VM should be tried without waiting for the next regular poll
   */
  public synchronized boolean recordSuccess(HostPort source, SourceQuality quality) {
    boolean isTrial = source.equals(trial);
    boolean isFresh = quality == SourceQuality.FRESH;
    failedPolls = 0;
    if (isTrial && isFresh) {
      current = source;
    }
    if (source.equals(current) && candidates.indexOf(source) > 0) {
      pollsOfOtherSource++;
    }
    extraPoll = !isTrial && (!isFresh || !controlAddresses().contains(source));
    trial = null;
    return extraPoll;
  }

  /**
   * Records a failed poll. After a trial the source before it is polled again, at once if the trial
   * took the place of a regular poll. Otherwise the next source is polled.
   *
   * @param source polled source
   * @return true if another source should be polled without waiting for the next regular poll
   */
  public synchronized boolean recordFailure(HostPort source) {
    boolean wasExtraPoll = extraPoll;
    extraPoll = false;
    if (source.equals(trial) && !source.equals(current)) {
      trial = null;
      if (!wasExtraPoll) {
        // The leader is tried again only after a poll of the present source.
        failedPolls++;
      }
      return !wasExtraPoll;
    }
    trial = null;
    failedPolls++;
    pollsOfOtherSource = 0;
    if (!candidates.isEmpty()) {
      current = candidates.get((candidates.indexOf(source) + 1) % candidates.size());
    }
    return failedPolls % Math.max(1, candidates.size()) != 0;
  }

  /** Combines the control VMs of the settings with those of the directory, which override them. */
  private List<ControlVm> controlVms() {
    Map<String, ControlVm> controlVms = new LinkedHashMap<>();
    seeds.forEach(control -> controlVms.put(control.vm(), control));
    vms.vms().stream()
        .filter(VmRecord::control)
        .map(vm -> new ControlVm(vm.vm(), vm.dataCentre(), vm.peerAddress()))
        .sorted(Comparator.comparing(ControlVm::vm))
        .forEach(control -> controlVms.put(control.vm(), control));
    return List.copyOf(controlVms.values());
  }

  private List<HostPort> candidates() {
    Set<HostPort> addresses = new LinkedHashSet<>();
    List<ControlVm> controlVms = controlVms();
    if (identity.isControl()) {
      controlVms.stream()
          .filter(control -> leader.leaderVm().filter(control.vm()::equals).isPresent())
          .forEach(control -> addresses.add(control.peerAddress()));
    }
    List<ControlVm> remote =
        controlVms.stream()
            .filter(control -> !control.dataCentre().equals(identity.dataCentre()))
            .toList();
    controlVms.stream()
        .filter(control -> control.dataCentre().equals(identity.dataCentre()))
        .forEach(control -> addresses.add(control.peerAddress()));
    rotated(remote).forEach(control -> addresses.add(control.peerAddress()));
    addRelays(addresses);
    addresses.remove(identity.peerAddress());
    return List.copyOf(addresses);
  }

  private void addRelays(Set<HostPort> addresses) {
    List<HostPort> vmAddresses =
        vms.vms().stream()
            .map(VmRecord::peerAddress)
            .sorted(Comparator.comparing(HostPort::toString))
            .toList();
    Set<HostPort> relays = new LinkedHashSet<>(identity.relays());
    relays.addAll(rotated(vmAddresses));
    relays.removeAll(addresses);
    relays.remove(identity.peerAddress());
    relays.stream().limit(MAX_RELAYS).forEach(addresses::add);
  }

  /** Rotates a list by the name of the local VM, so that the VMs spread over the sources. */
  private <T> List<T> rotated(List<T> values) {
    List<T> copy = new ArrayList<>(values);
    Collections.rotate(copy, identity.vm().hashCode());
    return copy;
  }
}
