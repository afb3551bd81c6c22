package org.ragwortpick.sync.rpc;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntSupplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.proto.SyncRequest;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.sync.FakeLeader;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.VmLifeCycle;

/** Measures the bytes and the CPU time of polls; the results are in docs/sync.md. */
public final class SyncCost {

  private static final long CHANGED_PER_SECOND_PERCENT = 1;
  private static final int TICKS_PER_POLL = 5;
  private static final int WARM_UP_POLLS = 16;
  private static final int MEASURED_POLLS = 20;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(1);
  private final List<Node> nodes = new ArrayList<>();
  private final List<Node> controls = new ArrayList<>();
  private final long[] sequence;
  private final int[] load;
  private boolean changing;

  private SyncCost(int vmCount, int upstreamCount, int controlCount) {
    FakeLeader.Committed committed = new FakeLeader.Committed();
    committed.commit("dataCentre/norte-b", "\"IN\"");
    sequence = new long[upstreamCount];
    load = new int[upstreamCount];
    for (int i = 0; i < vmCount; i++) {
      Node node = new Node(i, committed);
      nodes.add(node);
      if (i < controlCount) {
        controls.add(node);
      }
    }
    nodes.get(0).replica.setLeadership(true, 1, "vm0");
  }

  /** Measures the cost of polls, or with the argument {@code change} the time of a change. */
  public static void main(String[] args) throws InvalidProtocolBufferException {
    int[][] sizes = {{9, 25, 3}, {90, 400, 5}, {340, 4_000, 9}};
    if (args.length > 0) {
      for (int[] size : sizes) {
        measureChange(size[0], size[2]);
      }
      return;
    }
    System.out.println(
        "| VMs | upstreams | changes | entry B/poll | entry B/s | entry us/poll | entry core % |"
            + " follower B/s | follower core % | leader B/s | leader core % | heap MB/VM |");
    System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (int[] size : sizes) {
      for (int upstreams : new int[] {25, 400, 4_000}) {
        boolean isLarge = size[0] == 340;
        if (upstreams == size[1] || !isLarge) {
          new SyncCost(size[0], upstreams, size[2]).measure();
        }
      }
    }
  }

  private void measure() throws InvalidProtocolBufferException {
    long heapBefore = usedHeap();
    round(WARM_UP_POLLS);
    long heapPerVm = (usedHeap() - heapBefore) / nodes.size();
    round(MEASURED_POLLS);
    report("none", heapPerVm);
    changing = true;
    round(MEASURED_POLLS);
    report("1%/s", heapPerVm);
  }

  private void round(int polls) throws InvalidProtocolBufferException {
    nodes.forEach(Node::resetCounts);
    for (int i = 0; i < polls; i++) {
      for (int tick = 0; tick < TICKS_PER_POLL; tick++) {
        clock.advanceMs(SyncTimings.POLL_INTERVAL_MS / TICKS_PER_POLL);
        nodes.forEach(Node::tick);
      }
      if (i % 2 == 0) {
        announceAll();
      }
      for (Node node : nodes) {
        node.poll();
      }
    }
  }

  private void announceAll() {
    for (int i = 0; i < sequence.length; i++) {
      sequence[i]++;
      if (changing && random.nextInt(100) < CHANGED_PER_SECOND_PERCENT) {
        load[i] = (load[i] + 4) % 16;
      }
      Node home = nodes.get(i % nodes.size());
      Upstream upstream =
          new Upstream(
              "engine-" + i,
              1_764_000_000_000L,
              sequence[i],
              new HostPort("10.1.2.3", 9_000 + i),
              "norte-a",
              "service-" + i % 20,
              "tutor",
              "3",
              List.of("safety"),
              UpstreamState.READY,
              16,
              16,
              load[i],
              true);
      home.timed(() -> home.state.upstreams().announce(upstream));
    }
    if (changing) {
      nodes.forEach(
          node ->
              node.requests =
                  random.nextInt(100) < CHANGED_PER_SECOND_PERCENT
                      ? (node.requests + 1) * 4 % 60
                      : node.requests);
    }
  }

  private void report(String changes, long heapPerVm) {
    List<Node> entries = nodes.subList(controls.size(), nodes.size());
    double entryBytes = entries.stream().mapToLong(n -> n.bytes).average().orElse(0);
    double entryNanos = entries.stream().mapToLong(n -> n.nanos).average().orElse(0);
    double pollNanos = entries.stream().mapToLong(n -> n.pollNanos).average().orElse(0);
    List<Node> followers = controls.subList(1, controls.size());
    double followerBytes = followers.stream().mapToLong(n -> n.bytes).max().orElse(0);
    double followerNanos = followers.stream().mapToLong(n -> n.nanos).max().orElse(0);
    double seconds = MEASURED_POLLS * SyncTimings.POLL_INTERVAL_MS / 1_000.0;
    System.out.printf(
        "| %d | %d | %s | %.0f | %.0f | %.0f | %.2f | %.0f | %.2f | %.0f | %.2f | %.2f |%n",
        nodes.size(),
        sequence.length,
        changes,
        entryBytes / MEASURED_POLLS,
        entryBytes / seconds,
        pollNanos / MEASURED_POLLS / 1_000,
        percent(entryNanos, seconds),
        followerBytes / seconds,
        percent(followerNanos, seconds),
        nodes.get(0).bytes / seconds,
        percent(nodes.get(0).nanos, seconds),
        heapPerVm / 1_048_576.0);
  }

  private static double percent(double nanos, double seconds) {
    return 100 * nanos / NANOS_PER_SECOND / seconds;
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Measures the time until a change is in force on all VMs, with link delays of up to 10 ms. */
  private static void measureChange(int vmCount, int controlCount) {
    LinkedVms vms = new LinkedVms(1, controlCount, vmCount - controlCount);
    vms.setMaxDelayMs(10);
    while (vms.nowMs() < 1_000_000 + 10_000) {
      vms.step();
    }
    long[] times = new long[20];
    for (int i = 0; i < times.length; i++) {
      int revision = vms.acceptedAtMs().size();
      while (vms.acceptedAtMs().size() == revision) {
        vms.commit("dataCentre/dc1", i % 2 == 0 ? "\"OUT\"" : "\"IN\"");
        vms.step();
      }
      long startMs = vms.acceptedAtMs().get(revision);
      while (vms.vms().stream().anyMatch(vm -> vm.state().view().current().revision() < revision)) {
        vms.step();
      }
      times[i] = vms.nowMs() - startMs;
    }
    Arrays.sort(times);
    System.out.printf(
        "change in force on %d VMs: median %d ms, longest %d ms of %d changes%n",
        vmCount, times[times.length / 2], times[times.length - 1], times.length);
  }

  private final class Node {
    private final int index;
    private final FakeLeader replica;
    private final SyncState state;
    private final LeaderDuties duties;
    private final SyncExchange exchange;
    private final VmLifeCycle lifeCycle;
    private int requests;
    private long bytes;
    private long nanos;
    private long pollNanos;

    Node(int index, FakeLeader.Committed committed) {
      this.index = index;
      HostPort address = new HostPort("10.0.0.1", index + 1);
      SyncIdentity identity =
          new SyncIdentity(
              "vm" + index,
              1_764_000_000_000L + index,
              "norte-a",
              address,
              address,
              List.of(),
              List.of(),
              0);
      replica = new FakeLeader(committed, clock::millis);
      state = new SyncState(identity, clock, () -> {});
      duties = new LeaderDuties(clock, replica, state);
      exchange = new SyncExchange(clock, replica, state, duties);
      IntSupplier inFlight = () -> requests;
      lifeCycle = new VmLifeCycle(identity, clock, state.view(), inFlight, state::publish);
    }

    private void resetCounts() {
      bytes = 0;
      nanos = 0;
      pollNanos = 0;
    }

    private long timed(Runnable work) {
      long start = THREADS.getCurrentThreadCpuTime();
      work.run();
      long spent = THREADS.getCurrentThreadCpuTime() - start;
      nanos += spent;
      return spent;
    }

    private void tick() {
      timed(
          () -> {
            duties.tick();
            state.tick();
            lifeCycle.tick();
          });
    }

    private void poll() throws InvalidProtocolBufferException {
      if (exchange.pollSelf()) {
        return;
      }
      Node source =
          index < controls.size() ? controls.get(0) : controls.get(index % controls.size());
      do {
        poll(source);
      } while (exchange.sourceHasMore());
    }

    private void poll(Node source) throws InvalidProtocolBufferException {
      long start = THREADS.getCurrentThreadCpuTime();
      SyncExchange.Poll poll = exchange.poll(new HostPort("10.0.0.1", source.index + 1));
      byte[] request = poll.request().toByteArray();
      long sent = THREADS.getCurrentThreadCpuTime();
      byte[] response = source.exchange.respond(SyncRequest.parseFrom(request)).toByteArray();
      long received = THREADS.getCurrentThreadCpuTime();
      exchange.accept(poll, SyncResponse.parseFrom(response));
      long own = THREADS.getCurrentThreadCpuTime() - received + sent - start;
      pollNanos += own;
      nanos += own;
      source.nanos += received - sent;
      bytes += request.length + response.length;
      source.bytes += request.length + response.length;
    }
  }
}
