package org.ragwortpick.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against failures to survive and repair single faults, on simulated disks and links. */
public final class ScenarioTest {

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

  /** An isolated leader that kept its lease would serve stale configuration. */
  @Test
  public void isolatedLeaderStepsDown() {
    group.isolate(Set.of(leader.name()));
    final long cutAtMs = group.clock().millis();
    group.runFor(300);
    assertTrue(
        leader.replica().confirmedAtMs().orElse(0) <= cutAtMs,
        "the isolated leader was confirmed after the cut");
    group.runFor(1_200);
    assertFalse(leader.replica().leadership().leader(), "the isolated leader did not step down");
    assertTrue(leader.replica().confirmedAtMs().isEmpty());
    group.commitOne();
    group.repairAndCheck();
  }

  /** Without pre-vote, an isolated replica raises its term and deposes the leader on its return. */
  @Test
  public void returningReplicaDoesNotDeposeLeader() {
    long term = leader.status().term();
    group.isolate(Set.of(follower().name()));
    group.runFor(10_000);
    group.isolate(Set.of());
    group.runFor(3_000);
    assertEquals(leader.status().term(), term);
    assertTrue(leader.replica().leadership().leader());
  }

  /** A vote of a replica that still receives heartbeats would violate the leader lease. */
  @Test
  public void replicaCutOnlyFromLeaderIsNotElected() {
    long term = leader.status().term();
    group.cutLink(leader.name(), follower().name());
    group.runFor(5_000);
    assertEquals(leader.status().term(), term);
    assertTrue(leader.replica().leadership().leader());
  }

  /** A vote under the identity of a lost disk could elect a leader without committed entries. */
  @Test
  public void lostDiskTakesNewIdentity() {
    SimulatedVm lost = follower();
    String old = lost.identity();
    lost.loseDisk();
    lost.start();
    assertFalse(lost.identity().equals(old));
    group.awaitWithin(20_000, "repair", group::isRepaired);
    assertFalse(leader.status().voters().contains(old));
  }

  /** A lost voter that stayed in the membership would cost the quorum once a second one fails. */
  @Test
  public void silentVoterAboveFloorIsRemovedAndRejoins() {
    SimulatedGroup fourVms = new SimulatedGroup(11, 4, 3);
    SimulatedVm leading = fourVms.awaitLeader();
    SimulatedVm lost = fourVms.vms().stream().filter(vm -> vm != leading).findFirst().orElseThrow();
    lost.crash();
    fourVms.awaitWithin(5_000, "removal", () -> leading.status().voters().size() == 3);
    SimulatedVm second =
        fourVms.running().stream().filter(vm -> vm != leading).findFirst().orElseThrow();
    second.crash();
    fourVms.runFor(6_000);
    assertEquals(
        leading.status().voters().size(), 3, "voters at the removal floor must not be removed");
    fourVms.commitOne();
    lost.start();
    second.start();
    fourVms.awaitWithin(10_000, "return", () -> leading.status().voters().size() == 4);
    fourVms.repairAndCheck();
  }

  /** A new voter that replaced the old one before it caught up would lose committed entries. */
  @Test
  public void diskLossRightAfterRepairLosesNoCommand() {
    for (int round = 0; round < 6; round++) {
      for (SimulatedVm lost : group.vms()) {
        group.commitOne();
        lost.loseDisk();
        lost.start();
        group.awaitWithin(30_000, "repair of " + lost.name(), group::isRepaired);
      }
    }
    group.repairAndCheck();
  }

  /** A replica that catches up by snapshot and log entries must not block commits. */
  @Test
  public void replicaCatchesUpWhileCommitsContinue() {
    SimulatedVm stopped = follower();
    stopped.crash();
    group.proposeMany(leader, 600, 2);
    stopped.start();
    group.proposeMany(leader, 200, 5);
    group.runFor(500);
    assertTrue(group.history().acknowledgedCount() > 800, "too few commits during the catch-up");
    group.repairAndCheck();
  }

  /** Concurrent proposals must each receive their own index. */
  @Test
  public void racingProposalsAreAllApplied() {
    for (int i = 0; i < 500; i++) {
      group.propose(leader);
    }
    group.runFor(1_000);
    assertEquals(group.history().acknowledgedCount(), 501);
    group.repairAndCheck();
  }

  /** A VM that an operator replaced must not rejoin by itself. */
  @Test
  public void retiredVmDoesNotRejoin() {
    SimulatedVm old = follower();
    List<SimulatedVm> others = new ArrayList<>(group.vms());
    others.remove(old);
    others.remove(leader);
    var refused =
        leader.replica().replaceMember(old.name(), "unknown", 1_000).toCompletableFuture();
    assertTrue(refused.join().getLeft() instanceof ConsensusError.ChangeRefused);
    var replacement =
        leader
            .replica()
            .replaceMember(old.name(), others.get(0).name(), 5_000)
            .toCompletableFuture();
    group.awaitWithin(5_000, "replacement", replacement::isDone);
    assertTrue(replacement.join().isRight());
    group.runFor(10_000);
    assertEquals(leader.status().voters().size(), 2);
    group.commitOne();
  }

  /** A failing seed can be replayed only if equal seeds give equal runs. */
  @Test
  public void equalSeedsGiveEqualRuns() {
    Set<String> runs = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      SimulatedGroup next = new SimulatedGroup(99, 5);
      next.setLinks(0.1, 40);
      next.runFor(5_000);
      runs.add(next.statuses().toString());
    }
    assertEquals(runs.size(), 1);
  }
}
