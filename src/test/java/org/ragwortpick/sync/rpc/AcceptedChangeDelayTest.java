package org.ragwortpick.sync.rpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against a VM in touch that does not apply an accepted change within the time limit. */
public final class AcceptedChangeDelayTest {

  private static final int CONTROL_VMS = 3;
  private static final int ENTRY_VMS = 5;
  private static final long RUN_MS = 24_000;

  /** Time without trouble after which a VM, or the group of control VMs, counts as undisturbed. */
  private static final long CONTACT_MS = 3_000;

  private static final long APPLY_MS = 2_000;

  /** Time added to the limit while the group of control VMs is disturbed. */
  private static final long UNSTABLE_CORE_MS = 5_000;

  @Test
  public void vmInTouchAppliesAcceptedChangeInTime() {
    Seeds.forEach(seed -> new Run(seed).run());
  }

  private static final class Run {
    private final long seed;
    private final LinkedVms vms;
    private final Map<LinkedVms.Vm, Long> disturbedAtMs = new HashMap<>();
    private long coreDisturbedAtMs;
    private long coreLostAtMs;

    Run(long seed) {
      this.seed = seed;
      this.vms = new LinkedVms(seed, CONTROL_VMS, ENTRY_VMS);
      vms.setMaxDelayMs(20);
      vms.omitLateMessages();
      vms.vms().forEach(vm -> disturbedAtMs.put(vm, vms.nowMs()));
      coreDisturbedAtMs = vms.nowMs();
      coreLostAtMs = vms.nowMs();
    }

    void run() {
      for (long end = vms.nowMs() + RUN_MS; vms.nowMs() < end; ) {
        disturb();
        vms.step();
        observe();
        vms.vms().stream().filter(LinkedVms.Vm::isRunning).forEach(this::check);
      }
    }

    private void disturb() {
      if (vms.chance(3)) {
        vms.commit("dataCentre/dc0", vms.random().nextBoolean() ? "\"OUT\"" : null);
      }
      if (vms.chance(0.15)) {
        LinkedVms.Vm vm = vms.anyVm();
        disturbed(vm);
        vm.kill();
        vms.at(
            vms.nowMs() + vms.random().nextInt(6_000),
            () -> {
              disturbed(vm);
              vm.start();
            });
      }
      if (vms.chance(0.15)) {
        LinkedVms.Vm vm = vms.anyVm();
        disturbed(vm);
        vm.freeze(vms.random().nextInt(8_000));
      }
      if (vms.chance(0.3)) {
        isolate(vms.anyVm());
      }
      if (vms.chance(0.3)) {
        heal();
      }
    }

    /** Cuts a VM off the control VMs, or off a random half of all VMs. */
    private void isolate(LinkedVms.Vm vm) {
      boolean fromControls = vms.random().nextBoolean();
      for (LinkedVms.Vm other : vms.vms()) {
        if (other != vm && (fromControls ? other.isControl() : vms.random().nextBoolean())) {
          vms.cut(vm, other, true);
          noteChange(vm, other);
        }
      }
    }

    private void heal() {
      for (LinkedVms.Vm a : vms.vms()) {
        for (LinkedVms.Vm b : vms.vms()) {
          if (!vms.linked(a, b)) {
            vms.cut(a, b, false);
            noteChange(a, b);
          }
        }
      }
    }

    private void noteChange(LinkedVms.Vm a, LinkedVms.Vm b) {
      if (a.isControl() && b.isControl()) {
        coreDisturbedAtMs = vms.nowMs();
      }
    }

    private void disturbed(LinkedVms.Vm vm) {
      disturbedAtMs.put(vm, vms.nowMs());
      if (vm.isControl()) {
        coreDisturbedAtMs = vms.nowMs();
      }
    }

    private List<LinkedVms.Vm> connectedControls() {
      List<LinkedVms.Vm> running =
          vms.vms().stream().filter(vm -> vm.isControl() && vm.isRunning()).toList();
      return running.stream()
          .filter(vm -> 2 * running.stream().filter(o -> vms.linked(vm, o)).count() > CONTROL_VMS)
          .toList();
    }

    private void observe() {
      List<LinkedVms.Vm> core = connectedControls();
      if (2 * core.size() <= CONTROL_VMS) {
        coreLostAtMs = vms.nowMs();
      }
      for (LinkedVms.Vm vm : vms.vms()) {
        if (!vm.isRunning()) {
          disturbedAtMs.put(vm, vms.nowMs());
          boolean justFrozen = vms.nowMs() + LinkedVms.STEP_MS >= vm.frozenUntilMs();
          if (vm.isControl() && vm.isUp() && justFrozen) {
            coreDisturbedAtMs = vms.nowMs();
          }
        } else if (!core.stream().allMatch(control -> vms.linked(vm, control))) {
          disturbedAtMs.put(vm, vms.nowMs());
        }
      }
    }

    private void check(LinkedVms.Vm vm) {
      long nowMs = vms.nowMs();
      boolean calm = nowMs - disturbedAtMs.get(vm) >= CONTACT_MS;
      boolean coreKept = nowMs - coreLostAtMs >= APPLY_MS + UNSTABLE_CORE_MS;
      boolean coreStable = nowMs - Math.max(coreDisturbedAtMs, coreLostAtMs) >= CONTACT_MS;
      if (!calm || !coreStable && !coreKept) {
        return;
      }
      long limitMs = APPLY_MS + (coreStable ? 0 : UNSTABLE_CORE_MS);
      long revision = vm.state().view().current().revision();
      long expected = newestAcceptedBefore(nowMs - limitMs);
      if (revision < expected) {
        throw new AssertionError(
            "seed %d at %d: %s is at revision %d, expected at least %d after %d ms"
                .formatted(seed, nowMs, vm.process(), revision, expected, limitMs));
      }
    }

    private long newestAcceptedBefore(long limitMs) {
      int revision = vms.acceptedAtMs().size() - 1;
      while (vms.acceptedAtMs().get(revision) > limitMs) {
        revision--;
      }
      return revision;
    }
  }
}
