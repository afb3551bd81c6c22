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
import org.ragwortpick.consensus.raft.RecoveredState;
import org.ragwortpick.consensus.storage.CorruptDataFolderException;
import org.ragwortpick.consensus.storage.DiskIdentity;
import org.ragwortpick.consensus.storage.LogStore;

/** One control VM: the replica of production on a fake disk and fake links. */
final class SimulatedVm {

  static final int TICK_MS = 50;

  private final String name;
  private final SimulatedGroup group;
  private final RandomGenerator random;
  private final List<Runnable> held = new ArrayList<>();
  private FakeDisk disk = new FakeDisk();
  private Optional<Replica> replica = Optional.empty();
  private boolean frozen;
  private int generation;

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

  /** Formats the disk as one of the first voters. */
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
    generation++;
    int started = generation;
    frozen = false;
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
              1_024,
              4_096,
              100,
              1 << 20,
              group.keptVoters(),
              2_500);
      RaftCore core = new RaftCore(settings, store.recovered(), group.clock(), random);
      replica =
          Optional.of(
              new Replica(
                  "g",
                  core,
                  store,
                  group.history().newStateMachine(name),
                  task -> execute(started, task),
                  task -> group.after(group.diskDelayMs(), () -> execute(started, task)),
                  messages -> group.send(name, messages),
                  error -> {},
                  group.clock(),
                  SimulatedGroup.SNAPSHOT_LOG_BYTES));
    } catch (CorruptDataFolderException e) {
      throw new AssertionError(name + " does not start: " + e.getMessage(), e);
    } catch (IOException e) {
      // The disk failed during the start: the process ends.
      crash();
      return;
    }
    tick(started);
  }

  void receive(Envelope envelope) {
    replica.ifPresent(running -> running.receive(List.of(envelope)));
  }

  /** Ends the process. What was not synced is lost. */
  void crash() {
    generation++;
    replica.ifPresent(Replica::abandon);
    replica = Optional.empty();
    frozen = false;
    held.clear();
    disk.crash(random);
  }

  void loseDisk() {
    crash();
    disk = new FakeDisk();
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    frozen = false;
    List<Runnable> tasks = List.copyOf(held);
    held.clear();
    tasks.forEach(Runnable::run);
  }

  private void execute(int started, Runnable task) {
    if (started != generation) {
      return;
    }
    if (frozen) {
      held.add(() -> execute(started, task));
    } else {
      task.run();
      group.checkLeadership(this);
    }
  }

  private void tick(int started) {
    if (started == generation) {
      if (!frozen) {
        replica().tick();
      }
      group.after(TICK_MS, () -> tick(started));
    }
  }
}
