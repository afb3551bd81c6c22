package org.ragwortpick.consensus;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.ReplicaId;

/** Simulates control VMs with links and disks on one manual clock. Equal seeds give equal runs. */
final class SimulatedGroup {

  static final long SNAPSHOT_LOG_BYTES = 2_000;

  private final ManualClock clock = new ManualClock();
  private final Random random;
  private final History history = new History();
  private final Map<String, SimulatedVm> vms = new TreeMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final Set<String> isolated = new HashSet<>();
  private final Set<String> endsOfCutLink = new HashSet<>();
  private final int voterRemovalFloor;
  private double lossRate;
  private int maxDelayMs = 5;
  private int maxDiskDelayMs = 5;
  private long eventNumber;
  private int commandNumber;

  SimulatedGroup(long seed, int voters) {
    this(seed, voters, 0);
  }

  SimulatedGroup(long seed, int voters, int voterRemovalFloor) {
    this.voterRemovalFloor = voterRemovalFloor;
    random = new Random(seed);
    for (int i = 0; i < voters; i++) {
      String name = String.valueOf((char) ('a' + i));
      vms.put(name, new SimulatedVm(name, this, seed * 31 + i));
    }
    List<String> identities = vms.keySet().stream().map(vm -> ReplicaId.of(vm, "0")).toList();
    vms.values().forEach(vm -> vm.format(identities));
    vms.values().forEach(SimulatedVm::start);
  }

  ManualClock clock() {
    return clock;
  }

  Random random() {
    return random;
  }

  History history() {
    return history;
  }

  int voterRemovalFloor() {
    return voterRemovalFloor;
  }

  Set<String> vmNames() {
    return Set.copyOf(vms.keySet());
  }

  SimulatedVm vm(String name) {
    return vms.get(name);
  }

  List<SimulatedVm> vms() {
    return List.copyOf(vms.values());
  }

  List<SimulatedVm> running() {
    return vms.values().stream().filter(SimulatedVm::isRunning).toList();
  }

  int diskDelayMs() {
    return random.nextInt(maxDiskDelayMs) + 1;
  }

  void setLinks(double loss, int delayMs) {
    lossRate = loss;
    maxDelayMs = delayMs;
  }

  void setMaxDiskDelayMs(int delayMs) {
    maxDiskDelayMs = delayMs;
  }

  /** Cuts all links between these VMs and the others. */
  void isolate(Set<String> names) {
    isolated.clear();
    isolated.addAll(names);
    endsOfCutLink.clear();
  }

  /** Cuts the link between two VMs only. */
  void cutLink(String first, String second) {
    endsOfCutLink.clear();
    endsOfCutLink.addAll(List.of(first, second));
  }

  void schedule(long delayMs, Runnable action) {
    events.add(new Event(clock.millis() + delayMs, eventNumber++, action));
  }

  void runFor(long durationMs) {
    long endMs = clock.millis() + durationMs;
    runUntil(endMs, () -> false);
    clock.advanceMs(endMs - clock.millis());
  }

  void awaitWithin(long timeoutMs, String what, BooleanSupplier condition) {
    runUntil(clock.millis() + timeoutMs, condition);
    assertTrue(
        condition.getAsBoolean(), "within " + timeoutMs + " ms: " + what + ": " + statuses());
  }

  SimulatedVm awaitLeader() {
    awaitWithin(10_000, "a leader", () -> leader().isPresent());
    return leader().orElseThrow();
  }

  /** Returns the leader that is ready and not isolated. */
  Optional<SimulatedVm> leader() {
    return running().stream()
        .filter(vm -> !isolated.contains(vm.name()) && vm.replica().leadership().leader())
        .max(Comparator.comparingLong(vm -> vm.status().term()));
  }

  /** Proposes a new command and returns it. Its acknowledgement is recorded in the history. */
  String propose(SimulatedVm vm) {
    String command = "command-" + commandNumber++;
    vm.replica()
        .propose(command.getBytes(StandardCharsets.UTF_8))
        .thenAccept(
            outcome ->
                outcome.peek(applied -> history.recordAcknowledged(command, applied.index())));
    return command;
  }

  /** Proposes commands with a pause after each, without waiting for their commit. */
  void proposeMany(SimulatedVm vm, int count, long pauseMs) {
    for (int i = 0; i < count; i++) {
      propose(vm);
      runFor(pauseMs);
    }
  }

  /** Commits a new command; retries if the leader changes. */
  void commitOne() {
    int before = history.acknowledgedCount();
    long deadlineMs = clock.millis() + 5_000;
    while (history.acknowledgedCount() == before && clock.millis() < deadlineMs) {
      propose(awaitLeader());
      runUntil(clock.millis() + 1_000, () -> history.acknowledgedCount() > before);
    }
    assertTrue(history.acknowledgedCount() > before, "no commit: " + statuses());
  }

  /** Repairs all faults, waits until all VMs vote and have equal state, and checks the history. */
  void repairAndCheck() {
    setLinks(0, 5);
    setMaxDiskDelayMs(5);
    isolate(Set.of());
    for (SimulatedVm vm : vms()) {
      vm.disk().clearFaults();
      if (vm.isRunning()) {
        vm.resume();
      } else {
        vm.start();
      }
    }
    awaitWithin(60_000, "all VMs vote under their identity", this::isRepaired);
    commitOne();
    String last = history.lastLine(awaitLeader().name());
    awaitWithin(
        10_000,
        "equal state",
        () -> vms().stream().allMatch(vm -> history.lastLine(vm.name()).equals(last)));
    vms().forEach(vm -> history.checkComplete(vm.name()));
  }

  /** Returns whether the committed voters are exactly the current identities of all VMs. */
  boolean isRepaired() {
    return leader()
        .map(SimulatedVm::status)
        .filter(status -> status.commitIndex() == status.lastIndex())
        .filter(status -> status.voters().size() == vms.size())
        .filter(
            status ->
                vms().stream()
                    .allMatch(vm -> vm.isRunning() && status.voters().contains(vm.identity())))
        .isPresent();
  }

  void send(String from, List<Envelope> envelopes) {
    for (Envelope envelope : envelopes) {
      for (String to : vms.keySet()) {
        boolean addressed = envelope.to().isEmpty() || ReplicaId.vmOf(envelope.to()).equals(to);
        if (addressed && !to.equals(from)) {
          send(from, to, envelope);
        }
      }
    }
  }

  /** Checks election safety and the leader lease over all VMs, including suspended ones. */
  void checkLeadership(SimulatedVm vm) {
    if (!vm.isRunning()) {
      return;
    }
    GroupStatus status = vm.status();
    status.failure().ifPresent(detail -> assertTrue(!detail.startsWith("internal"), detail));
    if (!status.role().equals("LEADER")) {
      return;
    }
    String leaderOfTerm = leaderByTerm.putIfAbsent(status.term(), status.identity());
    assertTrue(
        leaderOfTerm == null || leaderOfTerm.equals(status.identity()),
        "election safety: "
            + leaderOfTerm
            + " and "
            + status.identity()
            + " lead "
            + status.term());
    for (SimulatedVm other : running()) {
      GroupStatus otherStatus = other.status();
      boolean leaseHeld =
          otherStatus.confirmedAtMs().isPresent()
              && otherStatus.confirmedAtMs().getAsLong() + ConsensusGroup.LEADER_LEASE_MS
                  > clock.millis();
      assertTrue(
          !leaseHeld || otherStatus.term() >= status.term(),
          "lease: "
              + status.identity()
              + " leads while "
              + otherStatus.identity()
              + " holds its lease");
    }
  }

  List<GroupStatus> statuses() {
    return running().stream().map(SimulatedVm::status).toList();
  }

  private void send(String from, String to, Envelope envelope) {
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossRate) {
        schedule(
            1 + random.nextInt(maxDelayMs),
            () -> {
              boolean cut = endsOfCutLink.contains(from) && endsOfCutLink.contains(to);
              if (!cut && isolated.contains(from) == isolated.contains(to)) {
                vms.get(to).receive(envelope);
              }
            });
      }
    }
  }

  private void runUntil(long endMs, BooleanSupplier condition) {
    while (!condition.getAsBoolean() && !events.isEmpty() && events.peek().atMs <= endMs) {
      Event next = events.remove();
      clock.advanceMs(Math.max(0, next.atMs - clock.millis()));
      next.action.run();
    }
  }

  private record Event(long atMs, long number, Runnable action) {}
}
