package org.ragwortpick.sync.rpc;

import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.Test;

/**
 * Guards against views that return to an earlier revision, VMs that become ready on an old revision
 * of an isolated control VM, and views that stay in force longer than the lease after a newer
 * revision was accepted elsewhere.
 */
public final class ConfigurationRunsTest {

  private static final long RUN_MS = 24_000;
  private static final int SMALL_PART_BYTES = 300;
  private static final int LARGEST_TEXT_BYTES = 2_000;

  /** Lease measured by the slowest clock, plus one simulation step. */
  private static final long LEASE_MS =
      SyncTimings.maxLocalMs(SyncTimings.CONFIG_LEASE_MS) + LinkedVms.STEP_MS;

  @Test
  public void viewsNeverRevertOrOutlastTheLease() {
    Seeds.forEach(seed -> new Run(seed, SyncExchange.MAX_PART_BYTES).run());
  }

  /** Each change of a data centre goes with a document that takes some parts. */
  @Test
  public void viewsNeverRevertOrOutlastTheLeaseWhileChangesComeInParts() {
    Seeds.forEach(Seeds.COUNT / 2, seed -> new Run(seed, SMALL_PART_BYTES).run());
  }

  private static final class Run {
    private final long seed;
    private final LinkedVms vms;
    private final boolean isInParts;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, VmState> states = new HashMap<>();

    Run(long seed, int maxPartBytes) {
      this.seed = seed;
      this.vms = new LinkedVms(seed, 3, 4, maxPartBytes);
      this.isInParts = maxPartBytes == SMALL_PART_BYTES;
    }

    void run() {
      vms.setMaxDelayMs(vms.random().nextBoolean() ? 40 : 195);
      for (long end = vms.nowMs() + RUN_MS; vms.nowMs() < end; ) {
        disturb();
        vms.step();
        vms.vms().stream().filter(LinkedVms.Vm::isRunning).forEach(this::check);
      }
    }

    private void disturb() {
      if (vms.chance(2)) {
        String key = "dataCentre/dc" + vms.random().nextInt(3);
        String text = vms.random().nextInt(4) == 0 ? null : "\"OUT\"";
        vms.commit(key, text);
        if (isInParts) {
          // Both changes are accepted in the same step, so that the second one is the newest.
          vms.commit("text", randomText());
        }
      }
      if (vms.chance(0.3)) {
        partition();
      }
      if (vms.chance(0.1)) {
        vms.heal();
      }
      LinkedVms.Vm vm = vms.anyVm();
      if (vms.chance(0.4)) {
        vm.kill();
        vms.at(vms.nowMs() + vms.random().nextInt(2_000), vm::start);
      }
      if (vms.chance(0.2)) {
        vm.freeze(vms.random().nextInt(6_000));
      }
    }

    /** Returns a text that hardly gets smaller by compression. */
    private String randomText() {
      byte[] bytes = new byte[vms.random().nextInt(LARGEST_TEXT_BYTES)];
      vms.random().nextBytes(bytes);
      return Base64.getEncoder().encodeToString(bytes);
    }

    /** Isolates a control VM, alone or with some entry VMs, or cuts single links. */
    private void partition() {
      LinkedVms.Vm isolated = vms.vms().get(vms.random().nextInt(3));
      int kind = vms.random().nextInt(3);
      for (LinkedVms.Vm a : vms.vms()) {
        boolean inside =
            a == isolated || (kind == 1 && !a.isControl() && vms.random().nextBoolean());
        for (LinkedVms.Vm b : List.copyOf(vms.vms())) {
          if (kind == 2 && vms.random().nextInt(3) == 0) {
            vms.cut(a, b, true);
          } else if (kind < 2 && inside && b != isolated) {
            vms.cut(a, b, a == isolated || b.isControl());
          }
        }
      }
      if (kind == 1) {
        vms.vms().stream()
            .filter(vm -> !vm.isControl() && vms.random().nextBoolean())
            .forEach(vm -> vms.cut(vm, isolated, false));
      }
    }

    private void check(LinkedVms.Vm vm) {
      String process = vm.process();
      long revision = vm.state().view().current().revision();
      long previousRevision = revisions.getOrDefault(process, 0L);
      require(revision >= previousRevision, process, "reverts to", revision, previousRevision);
      revisions.put(process, revision);
      long minimumRevision = newestAcceptedBefore(vms.nowMs() - LEASE_MS);
      VmState state = vm.lifeCycle().state();
      boolean becameReady = state == VmState.READY && states.put(process, state) != state;
      if (vm.state().view().isInForce() || becameReady) {
        require(revision >= minimumRevision, process, "is in force at", revision, minimumRevision);
      }
    }

    private long newestAcceptedBefore(long limitMs) {
      int revision = vms.acceptedAtMs().size() - 1;
      while (vms.acceptedAtMs().get(revision) > limitMs) {
        revision--;
      }
      return revision;
    }

    private void require(
        boolean condition, String process, String fault, long revision, long expected) {
      if (!condition) {
        throw new AssertionError(
            "seed "
                + seed
                + " at "
                + vms.nowMs()
                + ": "
                + process
                + " "
                + fault
                + " revision "
                + revision
                + ", expected at least "
                + expected);
      }
    }
  }
}
