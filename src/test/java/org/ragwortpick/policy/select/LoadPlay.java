package org.ragwortpick.policy.select;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.policy.limit.PendingResponse;
import org.ragwortpick.policy.limit.UpstreamLoads;
import org.ragwortpick.policy.limit.UpstreamSpeeds;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;

/**
 * Uneven upstreams under the requests of many VMs, on a virtual clock. Reports arrive with
 * responses only. Each upstream has a lasting speed and is slow for a moment now and then.
 */
final class LoadPlay {

  static final int UPSTREAMS = 30;

  private static final int SLOTS = 16;
  private static final double UTILIZATION = 0.6;
  private static final double WORK_MS = 1_000;
  private static final long WARM_UP_MS = 30_000;
  private static final long SLOW_MS = 600;
  private static final double SLOW_SHARE = 0.15;
  private static final double SLOW_FACTOR = 2.5;
  private static final long SAMPLE_MS = 10;
  private static final long STEP_MS = 20;

  private final ManualClock clock = new ManualClock();
  private final long startMs = clock.millis();
  private final SplittableRandom random;
  private final long slowSeed;
  private final boolean isEven;
  private final List<Machine> machines = new ArrayList<>();
  private final List<Vm> vms;
  private final PriorityQueue<Running> running =
      new PriorityQueue<>(Comparator.comparingLong(request -> request.endsAtMs));
  private long samples;
  private double peakSum;
  private long unevenSamples;
  private long queueSamples;

  /**
   * Figures of one play.
   *
   * @param peakToMean mean over time of the largest to the mean number of requests at an upstream
   * @param unevenShare share of time in which one upstream queues while another is idle, which has
   *     less than half of its slots in use
   * @param queueShare share of time in which one upstream queues while another has a free slot
   * @param minWorkPerSpeed smallest number of requests by speed, relative to the mean
   * @param maxWorkPerSpeed largest number of requests by speed, relative to the mean
   */
  record Figures(
      double peakToMean,
      double unevenShare,
      double queueShare,
      double minWorkPerSpeed,
      double maxWorkPerSpeed) {}

  LoadPlay(int vmCount, long seed, boolean isEven) {
    this.random = new SplittableRandom(seed);
    this.slowSeed = random.nextLong();
    this.isEven = isEven;
    for (int i = 0; i < UPSTREAMS; i++) {
      machines.add(new Machine(i, random.nextDouble(0.55, 1.2)));
    }
    List<Upstream> upstreams = machines.stream().map(machine -> machine.upstream).toList();
    this.vms = IntStream.range(0, vmCount).mapToObj(i -> new Vm(i, upstreams)).toList();
  }

  Figures run(long durationMs) {
    double capacity = machines.stream().mapToDouble(machine -> machine.speed * SLOTS).sum();
    double perMs = UTILIZATION * capacity / WORK_MS;
    double arrivesAtMs = startMs;
    for (long ms = 0; ms < WARM_UP_MS + durationMs; ms++) {
      clock.advanceMs(1);
      while (!running.isEmpty() && running.peek().endsAtMs <= clock.millis()) {
        running.poll().end();
      }
      while (arrivesAtMs <= clock.millis()) {
        vms.get(random.nextInt(vms.size())).send();
        arrivesAtMs -= Math.log(1 - random.nextDouble()) / perMs;
      }
      if (ms >= WARM_UP_MS && ms % SAMPLE_MS == 0) {
        sample();
      }
    }
    double[] perSpeed = machines.stream().mapToDouble(m -> m.received / m.speed).sorted().toArray();
    double mean = IntStream.range(0, UPSTREAMS).mapToDouble(i -> perSpeed[i]).average().orElse(0);
    return new Figures(
        peakSum / samples,
        (double) unevenSamples / samples,
        (double) queueSamples / samples,
        perSpeed[0] / mean,
        perSpeed[UPSTREAMS - 1] / mean);
  }

  private void sample() {
    int[] counts = machines.stream().mapToInt(Machine::requests).toArray();
    double mean = IntStream.of(counts).average().orElse(0);
    int peak = IntStream.of(counts).max().orElse(0);
    int least = IntStream.of(counts).min().orElse(0);
    samples++;
    peakSum += mean == 0 ? 1 : peak / mean;
    unevenSamples += peak > SLOTS && least < SLOTS / 2 ? 1 : 0;
    queueSamples += peak > SLOTS && least < SLOTS ? 1 : 0;
  }

  private final class Machine {
    private final int index;
    private final Upstream upstream;
    private final double speed;
    private final Queue<Running> waiting = new ArrayDeque<>();
    private int inService;
    private long received;

    Machine(int index, double speed) {
      this.index = index;
      this.speed = speed;
      HostPort address = new HostPort("10.0.0.1", 1 + index);
      this.upstream =
          TestUpstreams.ready("u" + index, "s", address, "dc" + index % 3, SLOTS, SLOTS);
    }

    double speedAt(long atMs) {
      long epoch = (atMs - startMs) / SLOW_MS;
      double draw =
          new SplittableRandom(slowSeed ^ epoch * 1_000_003 ^ index * 7_919L).nextDouble();
      return draw < SLOW_SHARE ? speed / SLOW_FACTOR : speed;
    }

    int requests() {
      return inService + waiting.size();
    }

    void receive(Running request) {
      received += clock.millis() - startMs >= WARM_UP_MS ? 1 : 0;
      waiting.add(request);
      startNext();
    }

    void startNext() {
      while (inService < SLOTS && !waiting.isEmpty()) {
        inService++;
        Running next = waiting.poll();
        double workMs = next.workMs;
        long atMs = clock.millis();
        while (workMs > 0) {
          workMs -= STEP_MS * speedAt(atMs);
          atMs += STEP_MS;
        }
        next.endsAtMs = atMs;
        running.add(next);
      }
    }
  }

  private final class Running {
    private final Vm vm;
    private final Machine machine;
    private final PendingResponse pending;
    private final long sentAtMs = clock.millis();
    private final double workMs;
    private long endsAtMs;

    Running(Vm vm, Machine machine, PendingResponse pending) {
      this.vm = vm;
      this.machine = machine;
      this.pending = pending;
      this.workMs = -WORK_MS / 2 * Math.log((1 - random.nextDouble()) * (1 - random.nextDouble()));
    }

    void end() {
      machine.inService--;
      machine.startNext();
      String id = machine.upstream.id();
      vm.loads.recordHead(pending, true);
      vm.loads.recordReport(id, machine.requests());
      vm.loads.recordEnd(pending);
      vm.speeds.recordWorkTime(id, 100 / machine.speedAt(clock.millis()));
      vm.speeds.recordResponse(id, "r", clock.millis() - sentAtMs);
    }
  }

  private final class Vm {
    private final UpstreamLoads loads = new UpstreamLoads(clock);
    private final UpstreamSpeeds speeds = new UpstreamSpeeds(clock);
    private final List<Upstream> upstreams;
    private final UpstreamSelector selector;

    Vm(int index, List<Upstream> upstreams) {
      this.upstreams = upstreams;
      SplittableRandom choices = random.split();
      this.selector =
          isEven
              ? new EvenLoadSelector(0.15, choices)
              : new RendezvousAffinitySelector(
                  new LeastLoadedSelector("dc" + index % 3, choices), 0.15);
    }

    void send() {
      Upstream chosen =
          selector
              .select(
                  new SelectionRequest("s", 0, Set.of()),
                  isEven ? loads.describeExpected(upstreams, speeds) : loads.describe(upstreams))
              .orElseThrow()
              .upstream();
      Machine machine = machines.get(upstreams.indexOf(chosen));
      machine.receive(new Running(this, machine, loads.recordStart(chosen.id(), 10_000)));
    }
  }
}
