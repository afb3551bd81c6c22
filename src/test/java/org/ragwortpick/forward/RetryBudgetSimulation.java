package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.budget.RatioRetryBudget;
import org.ragwortpick.policy.budget.SharedRetryConstant;

/**
 * Requests to one service through many VMs whose upstreams fail, on one manual clock and without a
 * network. VMs poll a leader for the directory, which loses a VM 3 s after its last poll.
 */
final class RetryBudgetSimulation {

  static final int RATIO_PERCENT = 20;
  static final int CONSTANT = 58;

  private static final long WINDOW_MS = 10_000;
  private static final long STEP_MS = 10;
  private static final long POLL_INTERVAL_MS = 500;
  private static final int POLL_DELAY_MS = 400;
  private static final long VM_TIMEOUT_MS = 3_000;
  private static final long CONFIG_LEASE_MS = 4_000;
  private static final int MAX_ATTEMPTS = 3;

  /** Changes the VMs, the load and the upstreams while the simulation runs. */
  interface Plan {

    /**
     * Called before each step.
     *
     * @param simulation the simulation
     * @param elapsedMs time since its start in milliseconds
     */
    void step(RetryBudgetSimulation simulation, long elapsedMs);
  }

  /**
   * Result of a run.
   *
   * @param repeats repeats in the window that is worst beside what is allowed in it
   * @param allowed repeats that are allowed in that window
   * @param served share of the requests that were served
   * @param mostRepeats most repeats in any window
   */
  record Result(long repeats, double allowed, double served, long mostRepeats) {

    boolean holds() {
      return repeats <= allowed;
    }

    @Override
    public String toString() {
      return "worst window: %d repeats where %.1f are allowed; busiest window: %d; served: %.4f"
          .formatted(repeats, allowed, mostRepeats, served);
    }
  }

  /** One process of a VM. */
  final class Vm {
    private final String name;
    private boolean running = true;
    private boolean frozen;
    private boolean connected = true;
    private double loadFactor = 1;
    private final SharedRetryConstant constant;
    private final RatioRetryBudget budget;
    private long nextPollAtMs = clock.millis() + random.nextInt(50);
    private List<String> view = List.of();
    private long confirmedAtMs;
    private List<String> receivedView = List.of();
    private long receivedAtMs = Long.MAX_VALUE;
    private long receivedFromMs;

    Vm(String name) {
      this.name = name;
      this.constant =
          new SharedRetryConstant(
              CONSTANT, name, () -> view, this::viewAgeMs, () -> Long.MIN_VALUE, clock);
      this.budget = new RatioRetryBudget(clock, RATIO_PERCENT, constant);
    }

    String name() {
      return name;
    }

    /** Stops the process until it is thawed. */
    void setFrozen(boolean value) {
      frozen = value;
    }

    /** Cuts the VM off from the leader or joins it again. */
    void setConnected(boolean value) {
      connected = value;
    }

    /** Sets the share of requests as a multiple of an equal share. */
    void setLoadFactor(double value) {
      loadFactor = value;
    }

    private long viewAgeMs() {
      return confirmedAtMs == 0 ? Long.MAX_VALUE / 4 : clock.millis() - confirmedAtMs;
    }

    private boolean active() {
      return running && !frozen;
    }

    private boolean acceptsRequests() {
      return active() && confirmedAtMs > 0 && clock.millis() - confirmedAtMs <= CONFIG_LEASE_MS;
    }

    private void sync() {
      long nowMs = clock.millis();
      if (nowMs >= receivedAtMs) {
        view = receivedView;
        confirmedAtMs = receivedFromMs;
        receivedAtMs = Long.MAX_VALUE;
      }
      if (nowMs >= nextPollAtMs) {
        nextPollAtMs = nowMs + POLL_INTERVAL_MS;
        constant.observe();
        if (connected) {
          heartbeatAtMs.put(name, nowMs);
          receivedView = presentVms();
          receivedFromMs = nowMs;
          receivedAtMs = nowMs + random.nextInt(POLL_DELAY_MS);
        }
      }
    }
  }

  private record Attempt(Vm vm, long endsAtMs, int number) {}

  private final ManualClock clock = new ManualClock();
  private final SplittableRandom random;
  private final List<Vm> vms = new ArrayList<>();

  private double failureProbability = 0.7;

  private final double requestsPerSecond;
  private final Map<String, Long> heartbeatAtMs = new HashMap<>();
  private final PriorityQueue<Attempt> attempts =
      new PriorityQueue<>((a, b) -> Long.compare(a.endsAtMs(), b.endsAtMs()));
  private final List<Long> requestsAtMs = new ArrayList<>();
  private final List<Long> repeatsAtMs = new ArrayList<>();
  private long served;

  RetryBudgetSimulation(long seed, int vmCount, double requestsPerSecond) {
    this.random = new SplittableRandom(seed);
    this.requestsPerSecond = requestsPerSecond;
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm("vm-" + i));
    }
  }

  private List<String> presentVms() {
    long oldestMs = clock.millis() - VM_TIMEOUT_MS;
    return heartbeatAtMs.entrySet().stream()
        .filter(entry -> entry.getValue() > oldestMs)
        .map(Map.Entry::getKey)
        .toList();
  }

  SplittableRandom random() {
    return random;
  }

  List<Vm> vms() {
    return vms;
  }

  /** Sets the probability with which an attempt fails. */
  void setFailureProbability(double value) {
    failureProbability = value;
  }

  /** Ends the process of a VM and starts another one under the given name. */
  void restart(int index, String name) {
    vms.get(index).running = false;
    vms.set(index, new Vm(name));
  }

  Result run(Plan plan, long durationMs) {
    long startMs = clock.millis();
    while (clock.millis() - startMs < durationMs) {
      clock.advanceMs(STEP_MS);
      plan.step(this, clock.millis() - startMs);
      vms.stream().filter(Vm::active).forEach(Vm::sync);
      endAttempts();
      vms.forEach(this::accept);
    }
    return judge();
  }

  private void accept(Vm vm) {
    double expected = requestsPerSecond * STEP_MS / 1_000 / vms.size() * vm.loadFactor;
    int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
    for (int i = 0; i < count; i++) {
      if (vm.acceptsRequests()) {
        requestsAtMs.add(clock.millis() - 1 - random.nextInt(50));
        vm.budget.recordFirstAttempt();
        send(vm, 1);
      }
    }
  }

  private void send(Vm vm, int number) {
    attempts.add(new Attempt(vm, clock.millis() + 20 + random.nextInt(280), number));
  }

  private void endAttempts() {
    List<Attempt> held = new ArrayList<>();
    while (!attempts.isEmpty() && attempts.peek().endsAtMs() <= clock.millis()) {
      Attempt attempt = attempts.poll();
      Vm vm = attempt.vm();
      if (vm.frozen && vm.running) {
        held.add(attempt);
      } else if (vm.running) {
        end(attempt);
      }
    }
    attempts.addAll(held);
  }

  private void end(Attempt attempt) {
    if (random.nextDouble() >= failureProbability) {
      served++;
    } else if (attempt.number() < MAX_ATTEMPTS && attempt.vm().budget.tryTake()) {
      // One in a hundred connections is slow to open.
      int delayMs = 1 + random.nextInt(random.nextInt(100) == 0 ? 300 : 20);
      repeatsAtMs.add(clock.millis() + delayMs);
      send(attempt.vm(), attempt.number() + 1);
    }
  }

  private Result judge() {
    long[] repeats = repeatsAtMs.stream().mapToLong(Long::longValue).sorted().toArray();
    long[] requests = requestsAtMs.stream().mapToLong(Long::longValue).sorted().toArray();
    Result worst = new Result(0, CONSTANT, 0, 0);
    long most = 0;
    for (long endMs : repeats) {
      long count = countIn(repeats, endMs - WINDOW_MS, endMs);
      long firsts =
          Math.max(
              countIn(requests, endMs - WINDOW_MS, endMs),
              Math.max(
                  countIn(requests, endMs - 2 * WINDOW_MS, endMs - WINDOW_MS),
                  countIn(requests, endMs - WINDOW_MS * 3 / 2, endMs - WINDOW_MS / 2)));
      double allowed = firsts * RATIO_PERCENT / 100.0 + CONSTANT;
      most = Math.max(most, count);
      if (count - allowed > worst.repeats() - worst.allowed()) {
        worst = new Result(count, allowed, 0, 0);
      }
    }
    return new Result(
        worst.repeats(), worst.allowed(), (double) served / Math.max(1, requests.length), most);
  }

  /** Counts the times after the start and up to the end. */
  private static long countIn(long[] sortedMs, long afterMs, long untilMs) {
    return firstAfter(sortedMs, untilMs) - firstAfter(sortedMs, afterMs);
  }

  private static int firstAfter(long[] sortedMs, long timeMs) {
    int low = 0;
    int high = sortedMs.length;
    while (low < high) {
      int middle = (low + high) / 2;
      if (sortedMs[middle] <= timeMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
