package org.ragwortpick.consensus;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Guards against violations of log safety under combined faults: lost, delayed, reordered and
 * duplicated messages, partitions, suspended replicas, crashes that lose unsynced data, lost disks,
 * full disks and failed syncs. Invariants are checked in the core and in {@link SimulatedGroup}.
 *
 * <p>{@code -Dconsensus.seed=N} runs one seed, {@code -Dconsensus.seeds=N} the first N.
 */
public final class RandomisedRunTest {

  private static final long DEFAULT_SEEDS = 2_000;
  private static final int STEPS = 40;

  private final AtomicLong acknowledged = new AtomicLong();
  private final AtomicLong lostDisks = new AtomicLong();

  @Test
  public void acknowledgedCommandsSurviveAllFaults() {
    Long single = Long.getLong("consensus.seed");
    if (single != null) {
      run(single).ifPresent(RandomisedRunTest::fail);
      return;
    }
    long seeds = Long.getLong("consensus.seeds", DEFAULT_SEEDS);
    List<AssertionError> failures =
        LongStream.range(0, seeds)
            .parallel()
            .mapToObj(this::run)
            .flatMap(Optional::stream)
            .toList();
    failures.stream().findFirst().ifPresent(RandomisedRunTest::fail);
    String found = acknowledged + " commands acknowledged, " + lostDisks + " disks lost";
    Reporter.log(found, true);
    // A run without enough commits and disk losses would not exercise the invariants.
    assertTrue(acknowledged.get() > 40 * seeds && lostDisks.get() > seeds / 3, found);
  }

  private static void fail(AssertionError failure) {
    Reporter.log(failure.getMessage(), true);
    throw failure;
  }

  private Optional<AssertionError> run(long seed) {
    try {
      SimulatedGroup group = new SimulatedGroup(seed, seed % 4 == 3 ? 5 : 3);
      Random random = group.random();
      group.setLinks(random.nextInt(3) * 0.05, 5 + random.nextInt(60));
      group.setMaxDiskDelayMs(5 + random.nextInt(60));
      for (int step = 0; step < STEPS; step++) {
        if (random.nextInt(3) == 0) {
          injectFault(group, pick(random, group.vms()));
        } else if (random.nextInt(3) == 0) {
          repairFaults(group);
        }
        if (random.nextInt(4) == 0) {
          // Without proposals every log is complete, so any replica could be elected.
          group.runFor(random.nextInt(2_000));
        }
        for (int i = 0; i < 5; i++) {
          proposeSomewhere(group);
          group.runFor(random.nextInt(80));
        }
      }
      group.repairAndCheck();
      acknowledged.addAndGet(group.history().acknowledgedCount());
      return Optional.empty();
    } catch (RuntimeException | AssertionError e) {
      return Optional.of(new AssertionError("seed " + seed + ": " + e.getMessage(), e));
    }
  }

  /** Proposes mostly to the leader, and sometimes to any replica, such as a deposed leader. */
  private static void proposeSomewhere(SimulatedGroup group) {
    List<SimulatedVm> running = group.running();
    if (!running.isEmpty()) {
      boolean anywhere = group.random().nextInt(4) == 0;
      group.propose(
          group.leader().filter(leader -> !anywhere).orElse(pick(group.random(), running)));
    }
  }

  private void injectFault(SimulatedGroup group, SimulatedVm vm) {
    switch (group.random().nextInt(11)) {
      case 0 -> vm.crash();
      case 1 -> group.isolate(Set.of(vm.name()));
      case 2 -> vm.suspend();
      case 3 -> vm.disk().failNextSync();
      case 4, 5 -> cutOneLink(group, vm);
      case 6 -> vm.disk().setFreeBytes(group.random().nextInt(500));
      case 7 -> vm.disk().refuseChanges();
      default -> {
        // A second disk loss before the first is repaired may lose committed entries.
        if (group.isRepaired()) {
          lostDisks.incrementAndGet();
          vm.loseDisk();
          vm.start();
        }
      }
    }
  }

  private static void cutOneLink(SimulatedGroup group, SimulatedVm vm) {
    group
        .leader()
        .filter(leader -> leader != vm)
        .ifPresent(leader -> group.cutLink(leader.name(), vm.name()));
  }

  private static void repairFaults(SimulatedGroup group) {
    group.isolate(Set.of());
    for (SimulatedVm vm : group.vms()) {
      if (vm.isRunning() && vm.status().failure().isPresent()) {
        repairDisk(group, vm);
      }
      if (!vm.isRunning()) {
        vm.start();
      } else if (group.random().nextBoolean()) {
        vm.resume();
      }
    }
  }

  /** Restarts the replica, or lets it go on with the repaired disk. */
  private static void repairDisk(SimulatedGroup group, SimulatedVm vm) {
    if (group.random().nextBoolean()) {
      vm.crash();
    } else {
      vm.disk().clearFaults();
    }
  }

  private static SimulatedVm pick(Random random, List<SimulatedVm> vms) {
    return vms.get(random.nextInt(vms.size()));
  }
}
