package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.UpstreamLimitTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against VMs that keep to the limit of an upstream each, but not together. */
public final class NamedLimitsOfAllVmsTest {

  private static final long SEED = 20_261_206;
  private static final int SEEDS = 3;
  private static final long RUN_MS = 60_000;
  private static final long WINDOW_MS = 4_000;
  private static final long SETTLED_MS = 3_000;
  private static final double REQUESTS_PER_SECOND = 200;

  /** Time in which a change of the fleet or of a limit reaches a VM. */
  private static final int SPREAD_MS = 1_500;

  private static final Upstream UPSTREAM =
      TestUpstreams.ready("u1", "s", new HostPort("127.0.0.1", 9), "dc");
  private static final double FACTOR = 1.5;
  private static final int SLACK = 5;

  /** How VMs come and go. */
  private enum Changes {
    NONE,
    KILLS_AND_RESTARTS,
    GROWTH
  }

  @DataProvider
  public static Object[][] fleets() {
    List<Object[]> cases = new ArrayList<>();
    for (int vms : new int[] {1, 9, 66}) {
      for (double limit : new double[] {0.3, 1, 1.9, 7, 100}) {
        for (Changes changes : Changes.values()) {
          cases.add(new Object[] {vms, limit, changes});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  @Test(dataProvider = "fleets")
  public void sumOfAllVmsStaysWithinTheLimit(int vms, double limit, Changes changes) {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Run run = new Run(vms, limit, changes, seed);
      run.play();
      double allowed = FACTOR * limit * WINDOW_MS / 1_000 + SLACK;
      assertTrue(
          run.worstWindow <= allowed,
          "%d requests where %.1f are allowed, seed %d".formatted(run.worstWindow, allowed, seed));
      double used = run.total / (limit * RUN_MS / 1_000);
      assertTrue(used > 0.4, "only %.2f of the limit is used, seed %d".formatted(used, seed));
    }
  }

  /** One run on a manual clock: requests arrive at random VMs, each of which may send them on. */
  private static final class Run {

    private final ManualClock clock = new ManualClock();
    private final long startMs = clock.millis();
    private final SplittableRandom random;
    private final Changes changes;
    private final double limit;
    private final List<Vm> vms = new ArrayList<>();
    private final Deque<Long> sentMs = new ArrayDeque<>();
    private int started;
    private int worstWindow;
    private int total;

    Run(int size, double limit, Changes changes, long seed) {
      this.random = new SplittableRandom(seed);
      this.limit = limit;
      this.changes = changes;
      for (int i = 0; i < size; i++) {
        start();
      }
      vms.forEach(Vm::seeAll);
    }

    void start() {
      vms.add(new Vm(this, "vm-" + started++));
    }

    void play() {
      long nextChangeMs = 0;
      while (clock.millis() < startMs + RUN_MS) {
        clock.advanceMs(1 + random.nextInt((int) (2_000 / REQUESTS_PER_SECOND)));
        if (changes != Changes.NONE && clock.millis() >= nextChangeMs) {
          change();
          nextChangeMs = clock.millis() + 500 + random.nextInt(4_000);
        }
        Vm vm = vms.get(random.nextInt(vms.size()));
        vm.see();
        if (vm.limits.isAvailable(UPSTREAM) && vm.limits.tryTake(UPSTREAM)) {
          arrive();
          vm.limits.record(UPSTREAM, limit, clock.millis());
        }
      }
    }

    private void change() {
      if (changes == Changes.KILLS_AND_RESTARTS) {
        vms.remove(random.nextInt(vms.size()));
      }
      start();
    }

    private void arrive() {
      long nowMs = clock.millis();
      total++;
      if (nowMs >= startMs + SETTLED_MS) {
        sentMs.add(nowMs);
      }
      while (!sentMs.isEmpty() && nowMs - sentMs.peek() >= WINDOW_MS) {
        sentMs.remove();
      }
      worstWindow = Math.max(worstWindow, sentMs.size());
    }
  }

  /** One VM, which learns of changes of the fleet with a delay of its own. */
  private static final class Vm {

    private final Run run;
    private final String name;
    private final Map<String, UpstreamLimit> table = new HashMap<>();
    private final NamedLimits limits;
    private List<String> seen = List.of();
    private long seeAtMs;

    Vm(Run run, String name) {
      this.run = run;
      this.name = name;
      this.limits =
          new NamedLimits(
              new Table(table),
              new RequestRateShare(run.clock),
              upstream -> SenderRank.byRendezvous(upstream.id(), name, seen),
              run.clock);
      limits.record(UPSTREAM, run.limit, 0);
    }

    void seeAll() {
      seen = run.vms.stream().map(vm -> vm.name).toList();
      seeAtMs = run.clock.millis() + run.random.nextInt(SPREAD_MS);
    }

    void see() {
      if (run.clock.millis() >= seeAtMs) {
        seeAll();
      }
    }
  }

  private record Table(Map<String, UpstreamLimit> records) implements UpstreamLimitTable {

    @Override
    public Optional<UpstreamLimit> find(String upstreamId) {
      return Optional.ofNullable(records.get(upstreamId));
    }

    @Override
    public List<UpstreamLimit> all() {
      return List.copyOf(records.values());
    }

    @Override
    public void add(UpstreamLimit added) {
      records.merge(added.upstreamId(), added, UpstreamLimit::merge);
    }
  }
}
