package org.ragwortpick.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against faults that occur only with real files, threads and gRPC. */
public final class ConsensusHostTest {

  private static final long SMALL_LOG_BYTES = 16 * 1024;

  private LoopbackCluster cluster;

  @BeforeMethod
  public void startCluster() throws IOException {
    cluster =
        new LoopbackCluster(
            Files.createTempDirectory("consensus"),
            SMALL_LOG_BYTES,
            ListStateMachine::new,
            "a",
            "b",
            "c");
    cluster.bootstrap("a");
    for (String vm : List.of("a", "b", "c")) {
      cluster.start(vm);
    }
    cluster.awaitVoters(3);
  }

  @AfterMethod(alwaysRun = true)
  public void stopCluster() throws IOException {
    cluster.close();
  }

  /** Without duplicates: a command resent after an unknown outcome may be applied twice. */
  private List<String> commands(String vm) {
    return ((ListStateMachine) cluster.machine(vm)).commands().stream().distinct().toList();
  }

  private void awaitEqualState(int size, String... vms) {
    cluster.await(
        "equal state",
        () ->
            Arrays.stream(vms)
                .allMatch(
                    vm -> commands(vm).size() == size && commands(vm).equals(commands(vms[0]))));
  }

  /** A VM with an emptied data folder joins under a new identity that replaces the old one. */
  @Test
  public void vmWithLostDiskJoinsUnderNewIdentity() throws IOException {
    cluster.propose("x");
    cluster.stop("b");
    cluster.loseDisk("b");
    cluster.start("b");
    cluster.await(
        "the old identity to be replaced",
        () ->
            cluster.awaitLeader().status().voters().size() == 3
                && cluster.awaitLeader().status().voters().stream()
                    .filter(voter -> voter.startsWith("b/"))
                    .toList()
                    .equals(List.of(cluster.group("b").status().identity())));
    cluster.propose("y");
    awaitEqualState(2, "a", "b", "c");
  }

  /** A restart of all replicas must recover every acknowledged command from snapshot and log. */
  @Test
  public void restartKeepsAcknowledgedCommands() throws IOException {
    IntStream.range(0, 400).forEach(i -> cluster.propose("command-" + i));
    for (String vm : List.of("a", "b", "c")) {
      cluster.stop(vm);
    }
    for (String vm : List.of("c", "b", "a")) {
      cluster.start(vm);
    }
    cluster.propose("last");
    awaitEqualState(401, "a", "b", "c");
  }

  /** A replica that missed many commands must catch up by snapshot while commits continue. */
  @Test
  public void restartedReplicaCatchesUpWhileServing() throws IOException {
    cluster.stop("c");
    IntStream.range(0, 1_500).forEach(i -> cluster.propose("while-away-" + i));
    cluster.start("c");
    IntStream.range(0, 100).forEach(i -> cluster.propose("while-back-" + i));
    awaitEqualState(1_600, "a", "b", "c");
  }

  /** Bootstrap on a VM that lost its disk would create a second cluster. */
  @Test
  public void bootstrapIsRefusedWhileAnotherVmHoldsTheCluster() throws IOException {
    cluster.stop("c");
    assertThrows(BootstrapRefusedException.class, () -> cluster.bootstrap("c"));
    cluster.loseDisk("c");
    BootstrapRefusedException refusal =
        expectThrows(BootstrapRefusedException.class, () -> cluster.bootstrap("c"));
    assertTrue(refusal.getMessage().contains("VM a holds"), refusal.getMessage());
  }

  /** Two processes that use one folder would share an identity. */
  @Test
  public void folderInUseIsRefused() {
    IOException refusal = expectThrows(IOException.class, () -> cluster.bootstrap("a"));
    assertTrue(refusal.getMessage().contains("in use"), refusal.getMessage());
  }

  /** A follower must reject proposals and name the leader. */
  @Test
  public void followerNamesTheLeader() {
    String leader = cluster.awaitLeader().leadership().leaderVm().orElseThrow();
    String follower = leader.equals("b") ? "c" : "b";
    cluster.await(
        "the follower to know the leader",
        () -> cluster.group(follower).leadership().leaderVm().isPresent());
    var outcome =
        cluster
            .group(follower)
            .propose(new byte[1])
            .toCompletableFuture()
            .orTimeout(5, TimeUnit.SECONDS)
            .join();
    assertEquals(
        outcome.getLeft(),
        new ConsensusError.NotLeader(cluster.group(follower).leadership().leaderVm()));
  }
}
