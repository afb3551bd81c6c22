package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.sync.SyncTimings;

/** Times at which VMs were last heard from by the local VM or by VMs that poll it. */
public final class HeardVms {

  private final Clock clock;
  private final Map<String, Heard> heard = new HashMap<>();

  /**
   * Creates an empty list.
   *
   * @param clock monotonic clock
   */
  public HeardVms(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that a VM was heard from.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @param ageMs time since then in milliseconds
   */
  public synchronized void hear(String vm, long incarnation, long ageMs) {
    Heard incoming = new Heard(vm, incarnation, clock.millis() - ageMs);
    heard.merge(
        vm,
        incoming,
        (old, now) -> {
          if (old.incarnation != now.incarnation) {
            return old.incarnation > now.incarnation ? old : now;
          }
          return old.atMs >= now.atMs ? old : now;
        });
  }

  /**
   * Lists the VMs heard from within the VM timeout and forgets the others.
   *
   * @return the entries in no particular order
   */
  public synchronized List<Heard> recent() {
    long limitMs = clock.millis() - SyncTimings.VM_TIMEOUT_MS;
    heard.values().removeIf(entry -> entry.atMs <= limitMs);
    return new ArrayList<>(heard.values());
  }

  /**
   * Last sign of life of a VM.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @param atMs local monotonic time in milliseconds
   */
  public record Heard(String vm, long incarnation, long atMs) {}
}
