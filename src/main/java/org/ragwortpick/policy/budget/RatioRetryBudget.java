package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.function.IntSupplier;
import org.ragwortpick.policy.RetryBudget;

/**
 * Allows further attempts up to a share of the first attempts plus a constant, both counted over a
 * sliding window, so that quiet hours do not save up a budget for a storm of retries.
 */
public final class RatioRetryBudget implements RetryBudget {

  private static final int PARTS = 10;
  private static final long PART_MS = 1_000;
  private static final int PERCENT = 100;

  private final Clock clock;
  private final int ratioPercent;
  private final IntSupplier constant;
  private final long[] firstByPart = new long[PARTS];
  private final long[] takenByPart = new long[PARTS];
  private long partIndex;
  private long first;
  private long taken;

  /**
   * Creates a budget.
   *
   * @param clock clock
   * @param ratioPercent further attempts per 100 first attempts
   * @param constant further attempts within 10 s that need no first attempts
   */
  public RatioRetryBudget(Clock clock, int ratioPercent, int constant) {
    this(clock, ratioPercent, () -> constant);
  }

  /**
   * Creates a budget whose constant is shared out among VMs that come and go.
   *
   * @param clock monotonic clock
   * @param ratioPercent retries in percent of first attempts
   * @param constant retries beside the ratio, as of now
   */
  public RatioRetryBudget(Clock clock, int ratioPercent, IntSupplier constant) {
    this.clock = clock;
    this.ratioPercent = ratioPercent;
    this.constant = constant;
    this.partIndex = clock.millis() / PART_MS;
  }

  @Override
  public synchronized void recordFirstAttempt() {
    slide();
    first++;
    firstByPart[(int) (partIndex % PARTS)]++;
  }

  @Override
  public synchronized boolean tryTake() {
    slide();
    boolean exceeded = (taken + 1 - constant.getAsInt()) * PERCENT > first * ratioPercent;
    if (exceeded) {
      return false;
    }
    taken++;
    takenByPart[(int) (partIndex % PARTS)]++;
    return true;
  }

  private void slide() {
    long index = clock.millis() / PART_MS;
    long expiring = Math.min(PARTS, index - partIndex);
    for (long step = 1; step <= expiring; step++) {
      int part = (int) ((partIndex + step) % PARTS);
      first -= firstByPart[part];
      taken -= takenByPart[part];
      firstByPart[part] = 0;
      takenByPart[part] = 0;
    }
    partIndex = Math.max(partIndex, index);
  }
}
