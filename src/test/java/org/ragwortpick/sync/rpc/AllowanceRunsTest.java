package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.Test;

/**
 * Guards against more requests in flight at a cold upstream than its total allows, while leaders
 * change, lease holders crash or freeze, and messages are delayed.
 */
public final class AllowanceRunsTest {

  private static final long RUN_MS = 30_000;
  private static final int SMALL_PART_BYTES = 150;

  /** Time after which all requests under a lease of an earlier total have ended. */
  private static final long LEASE_DRAIN_MS =
      SyncTimings.maxLocalMs(SyncTimings.ALLOWANCE_LEASE_MS)
          + SyncTimings.MAX_STAGE_MS
          + LinkedVms.STEP_MS;

  /** Time after which all requests to an upstream that was flagged as warm have ended. */
  private static final long WARM_FLAG_DRAIN_MS =
      SyncTimings.maxLocalMs(SyncTimings.CONFIG_LEASE_MS)
          + SyncTimings.MAX_STAGE_MS
          + LinkedVms.STEP_MS;

  @Test
  public void requestsInFlightNeverExceedTheTotal() {
    runSeeds(Seeds.COUNT, SyncExchange.MAX_PART_BYTES);
  }

  /** Warm flags arrive later than the first response of a source. */
  @Test
  public void requestsInFlightNeverExceedTheTotalWhileRecordsComeInParts() {
    runSeeds(Seeds.COUNT / 2, SMALL_PART_BYTES);
  }

  private static void runSeeds(long seeds, int maxPartBytes) {
    AtomicLong admitted = new AtomicLong();
    AtomicLong runs = new AtomicLong();
    Seeds.forEach(
        seeds,
        seed -> {
          admitted.addAndGet(new Run(seed, maxPartBytes).run());
          runs.incrementAndGet();
        });
    assertTrue(
        admitted.get() > 20 * runs.get(), "the runs admitted only " + admitted + " requests");
  }

  private static final class Run {
    private final long seed;
    private final LinkedVms vms;
    private final List<FakeUpstream> upstreams = new ArrayList<>();
    private long admitted;

    Run(long seed, int maxPartBytes) {
      this.seed = seed;
      this.vms = new LinkedVms(seed, 3, 3, maxPartBytes);
      for (int i = 0; i < 2; i++) {
        upstreams.add(new FakeUpstream("u" + i));
      }
    }

    long run() {
      boolean undisturbed = vms.random().nextInt(4) == 0;
      for (long end = vms.nowMs() + RUN_MS; vms.nowMs() < end; ) {
        if (!undisturbed) {
          disturb();
        }
        vms.step();
        upstreams.forEach(FakeUpstream::step);
      }
      return admitted;
    }

    private void disturb() {
      LinkedVms.Vm vm = vms.anyVm();
      if (vms.chance(0.15)) {
        vm.kill();
        vms.at(vms.nowMs() + vms.random().nextInt(3_000), vm::start);
      }
      if (vms.chance(0.2)) {
        vm.freeze(vms.random().nextInt(5_000));
      }
      if (vms.chance(0.15)) {
        vms.vms().forEach(other -> vms.cut(vm, other, vms.random().nextBoolean()));
      }
      if (vms.chance(0.15)) {
        vms.heal();
      }
    }

    /** Simulated upstream; its requests end after at most the longest stage time. */
    private final class FakeUpstream {
      private final String id;
      private final int coldLimit = 1 + vms.random().nextInt(3);
      private final int slots = vms.random().nextBoolean() ? 4 * coldLimit : 1_000;
      private final List<long[]> totals = new ArrayList<>();
      private int inFlight;
      private long incarnation = 1;
      private long sequence;
      private long lastTotal;

      FakeUpstream(String id) {
        this.id = id;
      }

      void step() {
        recordTotal();
        if (vms.nowMs() % 1_000 < LinkedVms.STEP_MS) {
          sequence++;
          LinkedVms.Vm home = vms.anyVm();
          if (home.isRunning()) {
            home.state().upstreams().announce(announcement());
          }
        }
        if (vms.chance(0.02)) {
          incarnation++;
          inFlight = 0;
        }
        vms.vms().stream().filter(LinkedVms.Vm::isRunning).forEach(this::attempt);
      }

      private Upstream announcement() {
        return TestUpstreams.upstream(
            id, incarnation, sequence, UpstreamState.READY, inFlight, coldLimit, slots);
      }

      private void recordTotal() {
        if (vms.leader().isPresent()) {
          LinkedVms.Vm leader = vms.leader().get();
          OptionalInt total = leader.duties().coordinator().total(id);
          boolean warm = leader.state().warmFlags().isSetForAnyIncarnation(id);
          lastTotal = total.isPresent() ? total.getAsInt() : warm ? Integer.MAX_VALUE : lastTotal;
        }
        totals.add(new long[] {vms.nowMs(), lastTotal});
      }

      private void attempt(LinkedVms.Vm vm) {
        Optional<Upstream> found = vm.state().upstreams().find(id);
        if (found.isEmpty() || vms.random().nextInt(4) != 0) {
          return;
        }
        Upstream upstream = found.get();
        if (vms.chance(0.05)) {
          vm.state().allowances().reportCold(upstream);
        }
        if (!vm.state().allowances().tryAcquire(upstream)) {
          return;
        }
        admitted++;
        inFlight++;
        long allowed = allowed();
        if (inFlight > allowed) {
          throw new AssertionError(
              "seed "
                  + seed
                  + " at "
                  + vms.nowMs()
                  + ": "
                  + inFlight
                  + " requests at "
                  + id
                  + ", allowed "
                  + allowed
                  + ", admitted by "
                  + vm.process());
        }
        int durationMs = 1 + vms.random().nextInt((int) SyncTimings.MAX_STAGE_MS);
        long process = incarnation;
        String sender = vm.process();
        vms.at(vms.nowMs() + durationMs, () -> endRequest(process));
        vms.at(vms.nowMs() + durationMs, () -> release(vm, sender, upstream));
      }

      private void endRequest(long process) {
        inFlight -= process == incarnation ? 1 : 0;
      }

      private void release(LinkedVms.Vm vm, String sender, Upstream upstream) {
        if (!vm.isUp() || !vm.process().equals(sender)) {
          return;
        }
        if (vm.isRunning()) {
          vm.state().allowances().release(upstream);
        } else {
          vms.at(vm.frozenUntilMs(), () -> release(vm, sender, upstream));
        }
      }

      private long allowed() {
        long allowed = 0;
        for (int i = totals.size() - 1; i >= 0; i--) {
          long ageMs = vms.nowMs() - totals.get(i)[0];
          long total = totals.get(i)[1];
          if (ageMs > WARM_FLAG_DRAIN_MS) {
            break;
          }
          if (ageMs <= LEASE_DRAIN_MS || total == Integer.MAX_VALUE) {
            allowed = Math.max(allowed, total);
          }
        }
        return allowed;
      }
    }
  }
}
