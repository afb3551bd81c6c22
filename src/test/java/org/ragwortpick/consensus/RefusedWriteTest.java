package org.ragwortpick.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a refused write that ends a replica, or that is forgotten. */
public final class RefusedWriteTest {

  private static final long FULL_MS = 4_500;
  private static final long CATCH_UP_MS = 4_000;

  private SimulatedGroup group;
  private SimulatedVm leader;

  @BeforeMethod
  public void startGroup() {
    group = new SimulatedGroup(7, 3);
    leader = group.awaitLeader();
    group.commitOne();
  }

  private SimulatedVm follower() {
    return group.vms().stream().filter(vm -> vm != leader).findFirst().orElseThrow();
  }

  private static Optional<ConsensusError> propose(SimulatedVm vm) {
    CompletableFuture<Optional<ConsensusError>> error = new CompletableFuture<>();
    vm.replica()
        .propose(new byte[1])
        .thenAccept(outcome -> error.complete(outcome.swap().toJavaOptional()));
    return error.getNow(Optional.empty());
  }

  private void checkAllRunWithoutRestart(List<Replica> replicas) {
    assertEquals(group.vms().stream().map(SimulatedVm::replica).toList(), replicas);
    for (SimulatedVm vm : group.vms()) {
      assertTrue(vm.status().failure().isEmpty(), vm.name() + ": " + vm.status());
    }
    group.repairAndCheck();
  }

  private List<Replica> replicas() {
    return group.vms().stream().map(SimulatedVm::replica).toList();
  }

  /** The variants of a refused write. */
  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {{"at once"}, {"half-way"}, {"at the sync"}};
  }

  private static void refuse(SimulatedVm vm, String how) {
    switch (how) {
      case "at once" -> vm.disk().refuseChanges();
      case "half-way" -> vm.disk().setFreeBytes(10);
      default -> vm.disk().failNextSync();
    }
  }

  /** The second of two full disks, one after the other, took the majority away for good. */
  @Test(dataProvider = "refusals")
  public void fullDisksOneAfterTheOtherEndNoReplica(String how) {
    List<Replica> replicas = replicas();
    for (SimulatedVm full : group.vms()) {
      refuse(full, how);
      for (int i = 0; i < 5; i++) {
        group.commitOne();
        group.runFor(FULL_MS / 5);
      }
      full.disk().clearFaults();
      group.runFor(CATCH_UP_MS);
    }
    checkAllRunWithoutRestart(replicas);
  }

  /** A leader whose disk is full must not stop the acknowledgement of changes. */
  @Test(dataProvider = "refusals")
  public void leaderWithRefusedWritesKeepsCommitting(String how) {
    refuse(leader, how);
    long startMs = group.clock().millis();
    group.commitOne();
    assertTrue(group.clock().millis() - startMs < 1_000, "the commit waited for the full disk");
    leader.disk().clearFaults();
    group.runFor(CATCH_UP_MS);
    group.repairAndCheck();
  }

  /** An acknowledgement of entries that could not be written would lose them. */
  @Test
  public void isolatedLeaderWithFullDiskAcknowledgesNothing() {
    leader.disk().setFreeBytes(10);
    int before = group.history().acknowledgedCount();
    group.isolate(Set.of(leader.name()));
    group.propose(leader);
    group.runFor(400);
    assertTrue(leader.status().failure().orElseThrow().contains("No space left"));
    assertTrue(propose(leader).orElseThrow() instanceof ConsensusError.StorageFailed);
    group.runFor(2_000);
    assertFalse(leader.replica().leadership().leader(), "a leader without a quorum went on");
    assertEquals(group.history().acknowledgedCount(), before);
    group.isolate(Set.of());
    group.awaitWithin(5_000, "another leader", () -> group.leader().isPresent());
    group.repairAndCheck();
  }

  /** With a full majority changes must be refused at once, while reads can still be confirmed. */
  @Test
  public void fullMajorityRefusesChangesAndConfirmsReads() {
    List<Replica> replicas = replicas();
    leader.disk().refuseChanges();
    follower().disk().refuseChanges();
    int before = group.history().acknowledgedCount();
    group.propose(leader);
    group.runFor(FULL_MS);
    assertEquals(group.history().acknowledgedCount(), before);
    assertTrue(propose(leader).orElseThrow() instanceof ConsensusError.StorageFailed);
    long confirmedAtMs = leader.replica().confirmedAtMs().orElseThrow();
    assertTrue(group.clock().millis() - confirmedAtMs < ConsensusGroup.LEADER_LEASE_MS);
    group.vms().forEach(vm -> vm.disk().clearFaults());
    long roomMs = group.clock().millis();
    group.commitOne();
    assertTrue(group.clock().millis() - roomMs < CATCH_UP_MS, "orders came back late");
    group.runFor(CATCH_UP_MS);
    checkAllRunWithoutRestart(replicas);
  }

  /** A vote without its record could be given twice in one term. */
  @Test
  public void replicaWithFullDiskGivesNoVote() {
    SimulatedVm full = follower();
    full.disk().refuseChanges();
    group.commitOne();
    long term = full.status().term();
    leader.crash();
    group.runFor(10_000);
    assertTrue(group.leader().isEmpty(), "a leader without a recorded majority");
    assertEquals(full.status().term(), term, "the term advanced without its record");
    full.disk().clearFaults();
    group.awaitWithin(CATCH_UP_MS, "a leader", () -> group.leader().isPresent());
    group.repairAndCheck();
  }

  /** A process that starts on a full disk must come back by itself once there is room. */
  @Test
  public void startOnFullDiskWaitsForRoom() {
    SimulatedVm full = follower();
    full.crash();
    full.disk().refuseChanges();
    full.start();
    Replica started = full.replica();
    group.commitOne();
    group.runFor(FULL_MS);
    assertTrue(full.status().failure().orElseThrow().contains("No space left"));
    full.disk().clearFaults();
    group.runFor(CATCH_UP_MS);
    assertEquals(full.replica(), started);
    assertTrue(full.status().failure().isEmpty(), full.status().toString());
    group.repairAndCheck();
  }

  /**
   * What a process read at its start on a full disk may be lost, so it must not be acknowledged.
   */
  @Test
  public void startOnFullDiskAcknowledgesNothing() {
    group.runFor(500);
    for (SimulatedVm vm : group.vms()) {
      vm.crash();
      vm.disk().refuseChanges();
      vm.start();
    }
    int before = group.history().acknowledgedCount();
    group.runFor(10_000);
    assertTrue(group.leader().isEmpty(), "a leader was elected without a recorded vote");
    assertEquals(group.history().acknowledgedCount(), before);
    group.vms().forEach(vm -> vm.disk().clearFaults());
    group.awaitWithin(CATCH_UP_MS, "a leader", () -> group.leader().isPresent());
    group.repairAndCheck();
  }

  /** A snapshot that arrives, or is taken, while the disk is full must be stored later. */
  @Test
  public void snapshotOnFullDiskIsStoredOnceThereIsRoom() {
    SimulatedVm full = follower();
    full.crash();
    group.proposeMany(leader, 300, 5);
    full.start();
    full.disk().refuseChanges();
    leader.disk().refuseChanges();
    group.proposeMany(leader, 300, 5);
    final List<Replica> replicas = replicas();
    group.vms().forEach(vm -> vm.disk().clearFaults());
    group.runFor(CATCH_UP_MS);
    checkAllRunWithoutRestart(replicas);
  }

  /** A crash right after the disk came back must find all that was acknowledged since. */
  @Test(dataProvider = "refusals")
  public void crashAfterRefusedWritesLosesNothing(String how) {
    for (SimulatedVm vm : group.vms()) {
      refuse(vm, how);
      group.runFor(500);
      group.vms().forEach(next -> next.disk().clearFaults());
      group.commitOne();
      group.vms().forEach(SimulatedVm::crash);
      group.vms().forEach(SimulatedVm::start);
      group.awaitLeader();
    }
    group.repairAndCheck();
  }
}
