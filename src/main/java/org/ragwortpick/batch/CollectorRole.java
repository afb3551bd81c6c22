package org.ragwortpick.batch;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.ragwortpick.sync.ViewFreshness;
import org.ragwortpick.sync.VmRecord;

/**
 * Decides whether the local VM may collect pieces for other VMs, and whether it is the only
 * collector of a service. Confined to one thread.
 */
public final class CollectorRole {

  /**
   * Time for which a new collector assumes that its predecessor still has calls in progress: a
   * change of the directory takes about one second to spread, and a call half a second.
   */
  private static final long HANDOVER_MS = 2_500;

  /**
   * Maximum age of the view at which a VM calls upstreams for other VMs regardless of their views.
   * An upstream must get no new work two seconds after its leave notice, and half a second of that
   * passes before the leader receives the notice.
   */
  private static final long MAX_VIEW_AGE_MS = 1_400;

  /** Age that a view reaches only while there is no leader: two poll intervals. */
  private static final long LEADERLESS_VIEW_AGE_MS = 1_000;

  /**
   * Maximum difference between the view ages of two VMs that lost the same leader: two poll
   * intervals.
   */
  private static final long VIEW_AGE_TOLERANCE_MS = 1_000;

  /** Time for which the view age that a VM sent with its work remains valid. */
  private static final long SENDER_VIEW_VALID_MS = 2_000;

  private final String vm;
  private final Supplier<List<VmRecord>> vms;
  private final BooleanSupplier ready;
  private final Predicate<String> reaches;
  private final LongSupplier viewAgeMs;
  private final Clock clock;
  private final Map<String, Long> preferredSinceMs = new HashMap<>();
  private long lastRefusalAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the role of the local VM.
   *
   * @param vm name of the local VM
   * @param vms VMs in the local view
   * @param ready whether the local VM is ready and not leaving
   * @param reaches whether the local VM may reach the upstreams of a service
   * @param viewAgeMs age of the local VM's view of the upstreams in milliseconds
   * @param clock monotonic clock
   */
  public CollectorRole(
      String vm,
      Supplier<List<VmRecord>> vms,
      BooleanSupplier ready,
      Predicate<String> reaches,
      LongSupplier viewAgeMs,
      Clock clock) {
    this.vm = vm;
    this.vms = vms;
    this.ready = ready;
    this.reaches = reaches;
    this.viewAgeMs = viewAgeMs;
    this.clock = clock;
  }

  /**
   * Returns whether the local VM may collect pieces for another VM: it must reach the upstreams,
   * and its view must be recent, or not older than that of the sender. Without a leader all views
   * age together, and stages must keep running. A refusal is recorded for {@link #isSoleCollector}.
   *
   * @param service name of the service
   * @param senderViewAgeMs age of the sender's view in milliseconds when it sent the work
   * @param elapsedMs time since then in milliseconds
   * @return false if the local VM is leaving, reaches no upstream of the service or has too old a
   *     view; the sender then tries the next collector
   */
  boolean mayCollectFor(String service, long senderViewAgeMs, long elapsedMs) {
    long ageMs = viewAgeMs.getAsLong();
    boolean equallyOld =
        ageMs < ViewFreshness.UNCONFIRMED_MS
            && senderViewAgeMs >= LEADERLESS_VIEW_AGE_MS
            && elapsedMs <= SENDER_VIEW_VALID_MS
            && ageMs - elapsedMs <= senderViewAgeMs + VIEW_AGE_TOLERANCE_MS;
    boolean permitted =
        ready.getAsBoolean() && reaches.test(service) && (ageMs <= MAX_VIEW_AGE_MS || equallyOld);
    if (!permitted) {
      lastRefusalAtMs = clock.millis();
    }
    return permitted;
  }

  /**
   * Returns whether no other VM can have calls in progress at the upstreams of a service. Work
   * refused here moves to another collector, and while views are old, VMs may choose different
   * collectors.
   *
   * @param service name of the service
   * @return whether the local VM has been the only collector for the whole handover time
   */
  boolean isSoleCollector(String service) {
    List<VmRecord> order = CollectorPlacement.order(service, vms.get());
    boolean isFirst = !order.isEmpty() && order.get(0).vm().equals(vm);
    if (!isFirst || viewAgeMs.getAsLong() > MAX_VIEW_AGE_MS) {
      preferredSinceMs.remove(service);
      return false;
    }
    long sinceMs = preferredSinceMs.computeIfAbsent(service, key -> clock.millis());
    return clock.millis() - Math.max(sinceMs, lastRefusalAtMs) >= HANDOVER_MS;
  }
}
