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
 * Chooses the source of each poll: the leader for a control VM, else a control VM of the own data
 * centre, then the other control VMs, then other entry VMs as relays.
 */
public final class SourceSelector {

  /** Successful polls of a second choice after which the first choice is tried again: 10 s. */
  private static final int POLLS_BEFORE_FIRST_CHOICE = 20;

  /** Relays tried in one round; more would make a round longer than the configuration lease. */
  private static final int MAX_RELAYS = 6;

  private final SyncIdentity identity;
  private List<ControlVm> seeds;
  private final LeaderSource leader;
  private final VmDirectory vms;
  private List<HostPort> candidates = List.of();
  private HostPort current;
  private int successes;
  private int failures;

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
   * @param changed control VMs to ask beside those of the directory
   */
  public synchronized void setSeeds(List<ControlVm> changed) {
    seeds = List.copyOf(changed);
  }

  /**
   * Returns the source of the next poll.
   *
   * @return peer address of the source
   * @throws IllegalStateException if no other VM is known
   */
  public synchronized HostPort source() {
    candidates = candidates();
    if (candidates.isEmpty()) {
      throw new IllegalStateException(
          "no VM to poll is known; name control VMs or relays in the settings");
    }
    boolean retryFirst = successes >= POLLS_BEFORE_FIRST_CHOICE || leaderChanged();
    if (retryFirst || current == null || !candidates.contains(current)) {
      successes = 0;
      current = candidates.get(0);
    }
    return current;
  }

  private boolean leaderChanged() {
    return identity.isControl()
        && leader.leaderVm().isPresent()
        && failures == 0
        && !candidates.get(0).equals(current);
  }

  /**
   * Takes note of a successful poll.
   *
   * @param source polled source
   */
  public synchronized void succeeded(HostPort source) {
    failures = 0;
    if (source.equals(current) && candidates.indexOf(source) > 0) {
      successes++;
    }
  }

  /**
   * Takes note of a failed poll and moves on to the next source.
   *
   * @param source polled source
   * @return true if other sources have not been tried in this round
   */
  public synchronized boolean failed(HostPort source) {
    failures++;
    successes = 0;
    if (!candidates.isEmpty()) {
      current = candidates.get((candidates.indexOf(source) + 1) % candidates.size());
    }
    return failures % Math.max(1, candidates.size()) != 0;
  }

  /** Joins the control VMs of the settings with those that the directory knows. */
  private List<ControlVm> controlVms() {
    Map<String, ControlVm> known = new LinkedHashMap<>();
    seeds.forEach(control -> known.put(control.vm(), control));
    vms.vms().stream()
        .filter(VmRecord::control)
        .map(vm -> new ControlVm(vm.vm(), vm.dataCentre(), vm.peerAddress()))
        .sorted(Comparator.comparing(ControlVm::vm))
        .forEach(control -> known.put(control.vm(), control));
    return List.copyOf(known.values());
  }

  private List<HostPort> candidates() {
    Set<HostPort> addresses = new LinkedHashSet<>();
    List<ControlVm> controlVms = controlVms();
    if (identity.isControl()) {
      controlVms.stream()
          .filter(control -> leader.leaderVm().filter(control.vm()::equals).isPresent())
          .forEach(control -> addresses.add(control.peerAddress()));
    }
    List<ControlVm> others =
        controlVms.stream()
            .filter(control -> !control.dataCentre().equals(identity.dataCentre()))
            .toList();
    controlVms.stream()
        .filter(control -> control.dataCentre().equals(identity.dataCentre()))
        .forEach(control -> addresses.add(control.peerAddress()));
    rotated(others).forEach(control -> addresses.add(control.peerAddress()));
    addRelays(addresses);
    addresses.remove(identity.peerAddress());
    return List.copyOf(addresses);
  }

  private void addRelays(Set<HostPort> addresses) {
    List<HostPort> known =
        vms.vms().stream()
            .map(VmRecord::peerAddress)
            .sorted(Comparator.comparing(HostPort::toString))
            .toList();
    Set<HostPort> relays = new LinkedHashSet<>(identity.relays());
    relays.addAll(rotated(known));
    relays.removeAll(addresses);
    relays.remove(identity.peerAddress());
    relays.stream().limit(MAX_RELAYS).forEach(addresses::add);
  }

  /** Rotates a list by the name of the local VM, so that VMs spread over the sources. */
  private <T> List<T> rotated(List<T> values) {
    List<T> copy = new ArrayList<>(values);
    Collections.rotate(copy, identity.vm().hashCode());
    return copy;
  }
}
