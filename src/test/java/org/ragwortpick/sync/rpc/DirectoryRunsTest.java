package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.Test;

/**
 * Guards against VMs whose directories do not converge, that offer a leaving upstream, or that keep
 * the upstreams of a lost home, when announcements are delayed, reordered, duplicated or sent to
 * two homes.
 */
public final class DirectoryRunsTest {

  private static final long DISTURBED_MS = 16_000;
  private static final long SETTLED_MS = 12_000;
  private static final long MAX_OFFERED_AFTER_LEAVING_MS = 5_000;
  private static final int SMALL_PART_BYTES = 150;

  @Test
  public void allDirectoriesConverge() {
    Seeds.forEach(seed -> new Run(seed, true, SyncExchange.MAX_PART_BYTES).run());
  }

  @Test
  public void allDirectoriesConvergeWhileRecordsComeInParts() {
    Seeds.forEach(Seeds.COUNT / 2, seed -> new Run(seed, true, SMALL_PART_BYTES).run());
  }

  @Test
  public void leavingUpstreamIsNotOfferedAfterFiveSeconds() {
    Seeds.forEach(seed -> new Run(seed, false, SyncExchange.MAX_PART_BYTES).run());
  }

  private static final class Run {
    private final long seed;
    private final boolean partitions;
    private final LinkedVms vms;
    private final List<FakeUpstream> upstreams = new ArrayList<>();

    Run(long seed, boolean partitions, int maxPartBytes) {
      this.seed = seed;
      this.partitions = partitions;
      this.vms = new LinkedVms(seed, 3, 3, maxPartBytes);
      for (int i = 0; i < 4; i++) {
        upstreams.add(new FakeUpstream("u" + i));
      }
    }

    void run() {
      for (long end = vms.nowMs() + DISTURBED_MS; vms.nowMs() < end; ) {
        disturb();
        step(true);
      }
      vms.heal();
      vms.vms().stream().filter(vm -> !vm.isUp()).forEach(LinkedVms.Vm::start);
      for (long end = vms.nowMs() + SETTLED_MS; vms.nowMs() < end; ) {
        step(false);
      }
      List<String> expected = offered(vms.vms().get(0));
      vms.vms().forEach(vm -> assertEquals(offered(vm), expected, "seed " + seed));
      List<String> alive =
          upstreams.stream()
              .filter(u -> u.isOffered())
              .map(u -> u.id + "/" + u.incarnation)
              .toList();
      assertEquals(expected, alive, "seed " + seed + ": offered instead of alive upstreams");
    }

    private void step(boolean disturbed) {
      vms.step();
      upstreams.forEach(upstream -> upstream.step(disturbed));
    }

    private void disturb() {
      LinkedVms.Vm vm = vms.anyVm();
      if (partitions && vms.chance(0.2)) {
        vm.kill();
        vms.at(vms.nowMs() + vms.random().nextInt(8_000), vm::start);
      }
      if (partitions && vms.chance(0.2)) {
        vm.freeze(vms.random().nextInt(4_000));
      }
      if (partitions && vms.chance(0.2)) {
        vms.vms().forEach(other -> vms.cut(vm, other, vms.random().nextBoolean()));
      }
    }

    private static List<String> offered(LinkedVms.Vm vm) {
      return vm.state().upstreams().upstreams("tutor-lm").stream()
          .map(upstream -> upstream.id() + "/" + upstream.incarnation())
          .sorted()
          .toList();
    }

    /** Simulated upstream that announces itself every second and changes its home at random. */
    private final class FakeUpstream {
      private final String id;
      private long incarnation = 1;
      private long sequence;
      private boolean leaving;
      private boolean crashed;
      private long leavingReceivedMs = Long.MAX_VALUE;
      private long nextAnnouncementMs;
      private LinkedVms.Vm home;

      FakeUpstream(String id) {
        this.id = id;
        this.home = vms.anyVm();
      }

      boolean isOffered() {
        return !leaving && !crashed;
      }

      void step(boolean disturbed) {
        if (disturbed) {
          change();
        }
        if (!crashed && vms.nowMs() >= nextAnnouncementMs) {
          nextAnnouncementMs = vms.nowMs() + 1_000;
          announce(disturbed);
        }
        boolean boundPassed = vms.nowMs() - MAX_OFFERED_AFTER_LEAVING_MS > leavingReceivedMs;
        if (boundPassed && !partitions) {
          vms.vms().stream()
              .filter(vm -> offered(vm).contains(id + "/" + incarnation))
              .min(Comparator.comparing(LinkedVms.Vm::process))
              .ifPresent(
                  vm -> {
                    throw new AssertionError(
                        "seed "
                            + seed
                            + " at "
                            + vms.nowMs()
                            + ": "
                            + vm.process()
                            + " offers "
                            + id
                            + ", which is leaving");
                  });
        }
      }

      private void change() {
        if (vms.chance(0.1) || !home.isRunning()) {
          home = vms.anyVm();
        }
        if (vms.chance(0.05)) {
          leaving = true;
        }
        if (vms.chance(0.03)) {
          crashed = true;
        }
        if (vms.chance(0.05)) {
          incarnation++;
          sequence = 0;
          leaving = false;
          crashed = false;
          leavingReceivedMs = Long.MAX_VALUE;
        }
      }

      private void announce(boolean disturbed) {
        sequence++;
        // A faulty upstream may announce ready after leaving.
        boolean announcesReady = leaving && vms.random().nextInt(4) == 0;
        UpstreamState state =
            leaving && !announcesReady ? UpstreamState.LEAVING : UpstreamState.READY;
        Upstream announcement =
            TestUpstreams.upstream(id, incarnation, sequence, state, vms.random().nextInt(16));
        if (!home.isRunning()) {
          home = vms.anyVm();
        }
        deliver(home, announcement, vms.random().nextInt(50));
        if (disturbed && vms.random().nextInt(3) == 0) {
          deliver(vms.anyVm(), announcement, vms.random().nextInt(4_000));
        }
      }

      private void deliver(LinkedVms.Vm target, Upstream announcement, long delayMs) {
        vms.at(
            vms.nowMs() + delayMs,
            () -> {
              if (target.isRunning()) {
                target.state().upstreams().announce(announcement);
                boolean left = announcement.state() == UpstreamState.LEAVING;
                if (left && announcement.incarnation() == incarnation) {
                  leavingReceivedMs = Math.min(leavingReceivedMs, vms.nowMs());
                }
              }
            });
      }
    }
  }
}
