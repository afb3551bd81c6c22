package org.ragwortpick.consensus;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.Membership;
import org.ragwortpick.consensus.raft.RaftCore;
import org.ragwortpick.consensus.raft.RaftSettings;
import org.ragwortpick.consensus.raft.RaftStatus;
import org.ragwortpick.consensus.raft.RecoveredState;
import org.ragwortpick.consensus.storage.CorruptDataFolderException;
import org.ragwortpick.consensus.storage.DiskIdentity;
import org.ragwortpick.consensus.storage.LogStore;

/** Simulated control VM: the production replica on an in-memory disk and simulated links. */
final class SimulatedVm {

  static final int TICK_MS = 50;

  private final String name;
  private final SimulatedGroup group;
  private final RandomGenerator random;
  private final List<Runnable> heldTasks = new ArrayList<>();
  private FakeDisk disk = new FakeDisk();
  private Optional<Replica> replica = Optional.empty();
  private boolean suspended;
  private int processNumber;

  SimulatedVm(String name, SimulatedGroup group, long seed) {
    this.name = name;
    this.group = group;
    this.random = new Random(seed);
  }

  String name() {
    return name;
  }

  FakeDisk disk() {
    return disk;
  }

  boolean isRunning() {
    return replica.isPresent();
  }

  Replica replica() {
    return replica.orElseThrow();
  }

  GroupStatus status() {
    return replica().status();
  }

  /** Formats the disk as one of the initial voters. */
  void format(List<String> voters) {
    try {
      new DiskIdentity("test", "lineage", name, "0", List.of("g")).write(disk);
      Membership membership = new Membership(voters, List.of());
      LogStore.create(disk, RecoveredState.initial(membership)).close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String identity() {
    try {
      return DiskIdentity.read(disk).orElseThrow().replicaId();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void start() {
    processNumber++;
    int startedProcess = processNumber;
    suspended = false;
    try {
      if (DiskIdentity.read(disk).isEmpty()) {
        DiskIdentity.random("test", name, random).write(disk);
      }
      LogStore store =
          LogStore.exists(disk)
              ? LogStore.open(disk)
              : LogStore.create(disk, RecoveredState.initial(Membership.EMPTY));
      RaftSettings settings =
          new RaftSettings(
              identity(),
              group.vmNames()::contains,
              100,
              500,
              1_000,
              8,
              4_096,
              1_024,
              4_096,
              100,
              1 << 20,
              group.voterRemovalFloor(),
              2_500);
      RaftCore core = new RaftCore(settings, store.takeRecovered(), group.clock(), random);
      replica =
          Optional.of(
              new Replica(
                  "g",
                  core,
                  store,
                  group.history().newStateMachine(name),
                  task -> execute(startedProcess, task),
                  task -> group.schedule(group.diskDelayMs(), () -> execute(startedProcess, task)),
                  messages -> group.send(name, messages),
                  new IgnoringListener(),
                  group.clock(),
                  SimulatedGroup.SNAPSHOT_LOG_BYTES));
    } catch (CorruptDataFolderException e) {
      throw new AssertionError(name + " does not start: " + e.getMessage(), e);
    } catch (IOException e) {
      // The disk failed during the start, which ends the process.
      crash();
      return;
    }
    tick(startedProcess);
  }

  void receive(Envelope envelope) {
    replica.ifPresent(running -> running.receive(List.of(envelope)));
  }

  /** Ends the process and loses unsynced data. */
  void crash() {
    processNumber++;
    replica.ifPresent(Replica::failPendingCalls);
    replica = Optional.empty();
    suspended = false;
    heldTasks.clear();
    disk.crash(random);
  }

  void loseDisk() {
    crash();
    disk = new FakeDisk();
  }

  void suspend() {
    suspended = true;
  }

  void resume() {
    suspended = false;
    List<Runnable> tasks = List.copyOf(heldTasks);
    heldTasks.clear();
    tasks.forEach(Runnable::run);
  }

  /** The tests read failures from the status. */
  private static final class IgnoringListener implements ReplicaListener {

    @Override
    public void onChanged(RaftStatus previous, RaftStatus current) {}

    @Override
    public void onStopped(Throwable cause) {}

    @Override
    public void onStorageLost(IOException cause) {}

    @Override
    public void onStorageRegained(long lostMs) {}
  }

  private void execute(int startedProcess, Runnable task) {
    if (startedProcess != processNumber) {
      return;
    }
    if (suspended) {
      heldTasks.add(() -> execute(startedProcess, task));
    } else {
      task.run();
      group.checkLeadership(this);
    }
  }

  private void tick(int startedProcess) {
    if (startedProcess == processNumber) {
      if (!suspended) {
        replica().tick();
      }
      group.schedule(TICK_MS, () -> tick(startedProcess));
    }
  }
}
