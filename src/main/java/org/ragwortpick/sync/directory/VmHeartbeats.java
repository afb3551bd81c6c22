package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.sync.SyncTimings;

/** Times of the last heartbeats of VMs, received by the local VM or by VMs that poll it. */
public final class VmHeartbeats {

  private final Clock clock;
  private final Map<String, Heartbeat> heartbeats = new HashMap<>();

  /**
   * Creates the heartbeats without entries.
   *
   * @param clock monotonic clock
   */
  public VmHeartbeats(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records a heartbeat of a VM unless a newer one is recorded.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @param ageMs age of the heartbeat in milliseconds
   */
  public synchronized void record(String vm, long incarnation, long ageMs) {
    Heartbeat received = new Heartbeat(vm, incarnation, clock.millis() - ageMs);
    heartbeats.merge(
        vm,
        received,
        (stored, incoming) -> {
          if (stored.incarnation != incoming.incarnation) {
            return stored.incarnation > incoming.incarnation ? stored : incoming;
          }
          return stored.atMs >= incoming.atMs ? stored : incoming;
        });
  }

  /**
   * Lists the heartbeats within the VM timeout and removes the others.
   *
   * @return the heartbeats in no particular order
   */
  public synchronized List<Heartbeat> recent() {
    long limitMs = clock.millis() - SyncTimings.VM_TIMEOUT_MS;
    heartbeats.values().removeIf(entry -> entry.atMs <= limitMs);
    return new ArrayList<>(heartbeats.values());
  }

  /**
   * Last heartbeat of a VM.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @param atMs local monotonic time in milliseconds
   */
  public record Heartbeat(String vm, long incarnation, long atMs) {}
}
