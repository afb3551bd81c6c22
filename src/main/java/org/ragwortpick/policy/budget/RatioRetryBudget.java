package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.function.Supplier;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.RetryDecision;
import org.ragwortpick.policy.RetryShare;

/**
 * Allows retries and hedges up to a percentage of the first attempts plus a constant, both counted
 * over a sliding window, so that unused budget does not accumulate and permit a retry storm later.
 */
public final class RatioRetryBudget implements RetryBudget {

  private static final int BUCKETS = 10;
  private static final long BUCKET_MS = 1_000;
  private static final int PERCENT = 100;

  private final Clock clock;
  private final int ratioPercent;
  private final Supplier<RetryShare> share;
  private final long[] firstAttemptsByBucket = new long[BUCKETS];
  private final long[] takenByBucket = new long[BUCKETS];
  private long bucketIndex;
  private long firstAttempts;
  private long taken;

  /**
   * Creates a budget with a fixed constant.
   *
   * @param clock monotonic clock
   * @param ratioPercent retries and hedges per 100 first attempts
   * @param constant retries and hedges within 10 s that are allowed regardless of first attempts
   */
  public RatioRetryBudget(Clock clock, int ratioPercent, int constant) {
    this(clock, ratioPercent, () -> new RetryShare(constant, 1));
  }

  /**
   * Creates a budget whose constant is divided among a varying number of VMs.
   *
   * @param clock monotonic clock
   * @param ratioPercent retries and hedges per 100 first attempts
   * @param share supplies the current share of the retries and hedges within 10 s that are allowed
   *     regardless of first attempts
   */
  public RatioRetryBudget(Clock clock, int ratioPercent, Supplier<RetryShare> share) {
    this.clock = clock;
    this.ratioPercent = ratioPercent;
    this.share = share;
    this.bucketIndex = clock.millis() / BUCKET_MS;
  }

  @Override
  public synchronized void recordFirstAttempt() {
    slide();
    firstAttempts++;
    firstAttemptsByBucket[(int) (bucketIndex % BUCKETS)]++;
  }

  @Override
  public synchronized RetryDecision take() {
    slide();
    RetryShare current = share.get();
    int constant = current.constant() / current.vms();
    boolean granted = (taken + 1 - constant) * PERCENT <= firstAttempts * ratioPercent;
    if (granted) {
      taken++;
      takenByBucket[(int) (bucketIndex % BUCKETS)]++;
    }
    return new RetryDecision(granted, (int) taken, (int) firstAttempts, current);
  }

  private void slide() {
    long index = clock.millis() / BUCKET_MS;
    long expiring = Math.min(BUCKETS, index - bucketIndex);
    for (long step = 1; step <= expiring; step++) {
      int bucket = (int) ((bucketIndex + step) % BUCKETS);
      firstAttempts -= firstAttemptsByBucket[bucket];
      taken -= takenByBucket[bucket];
      firstAttemptsByBucket[bucket] = 0;
      takenByBucket[bucket] = 0;
    }
    bucketIndex = Math.max(bucketIndex, index);
  }
}
