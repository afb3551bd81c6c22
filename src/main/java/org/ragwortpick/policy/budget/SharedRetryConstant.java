package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.RetryShare;
import org.ragwortpick.sync.SyncTimings;

/**
 * Divides the constant of a retry budget among the VMs that use it. Confined to one thread.
 *
 * <p>A process does not know what its predecessor has taken, nor do other VMs know of it yet. It
 * therefore has a share only after it was in its own confirmed view for one window and the time in
 * which all others learn of it. Until then it can retry what its own first attempts allow.
 */
public final class SharedRetryConstant implements Supplier<RetryShare> {

  private static final Logger LOG = Logger.getLogger(SharedRetryConstant.class);

  /** Longest time in which a VM appears in the views of all VMs that have a share. */
  private static final long MAX_LEARN_MS = SyncTimings.CONFIG_LEASE_MS;

  /** Age of the view up to which the local VM has a share; others learn of it no later. */
  private static final long MAX_VIEW_AGE_MS = SyncTimings.MAX_SOURCE_AGE_MS;

  /**
   * Age of the view, or time without a check as in a frozen process, after which the others may
   * have lost the local VM.
   */
  private static final long MAX_ABSENCE_MS = SyncTimings.CONFIG_LEASE_MS;

  private final int constant;
  private final String vm;
  private final Supplier<List<String>> vms;
  private final LongSupplier viewAgeMs;
  private final LongSupplier resumedAtMs;
  private final Clock clock;
  private long presentSinceMs;
  private long observedAtMs;
  private boolean withheld = true;

  /**
   * Creates the divider of the local VM.
   *
   * @param constant constant of all VMs together
   * @param vm name of the local VM
   * @param vms names of the VMs in the local view that send retries
   * @param viewAgeMs age of the local view in milliseconds
   * @param resumedAtMs monotonic time at which the process last resumed from a suspension
   * @param clock monotonic clock
   */
  public SharedRetryConstant(
      int constant,
      String vm,
      Supplier<List<String>> vms,
      LongSupplier viewAgeMs,
      LongSupplier resumedAtMs,
      Clock clock) {
    this.constant = constant;
    this.vm = vm;
    this.vms = vms;
    this.viewAgeMs = viewAgeMs;
    this.resumedAtMs = resumedAtMs;
    this.clock = clock;
    this.presentSinceMs = clock.millis();
    this.observedAtMs = presentSinceMs;
  }

  /** Notes which VMs are present; to be called at least once a second. */
  public void observe() {
    RetryShare share = get();
    boolean nowWithheld = share.equals(RetryShare.NONE);
    if (nowWithheld != withheld) {
      withheld = nowWithheld;
      DecisionLine.of(withheld ? "retry constant withheld" : "retry constant in use")
          .with("viewAgeMs", viewAgeMs.getAsLong())
          .with("presentMs", clock.millis() - presentSinceMs)
          .with("vms", share.vms())
          .info(LOG);
    }
  }

  @Override
  public RetryShare get() {
    long nowMs = clock.millis();
    long ageMs = viewAgeMs.getAsLong();
    List<String> present = vms.get();
    boolean absent =
        ageMs > MAX_ABSENCE_MS
            || nowMs - observedAtMs > MAX_ABSENCE_MS
            || presentSinceMs < resumedAtMs.getAsLong()
            || !present.contains(vm);
    if (absent) {
      presentSinceMs = nowMs;
    }
    observedAtMs = nowMs;
    boolean known = nowMs - presentSinceMs > RatioRetryBudget.MEMORY_MS + MAX_LEARN_MS;
    return known && ageMs <= MAX_VIEW_AGE_MS
        ? new RetryShare(constant, present.size())
        : RetryShare.NONE;
  }
}
