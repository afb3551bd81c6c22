package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.function.Supplier;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.RetryDecision;
import org.ragwortpick.policy.RetryShare;

/**
 * Allows retries and hedges up to a percentage of the first attempts plus a constant in every
 * window of 10 s, so that unused budget does not accumulate and permit a retry storm later.
 *
 * <p>The first attempts that count for a window are the mean of those in it and those in the window
 * before it. All VMs count the same two windows, so what they allow adds up to what all first
 * attempts allow, wherever these arrived. A retry must fit every window that contains it, including
 * those that have not ended yet.
 */
public final class RatioRetryBudget implements RetryBudget {

  private static final long BUCKET_MS = 100;
  private static final int WINDOW_BUCKETS = 100;

  /** A retry reaches its upstream up to this time after it was taken. */
  private static final int ARRIVAL_BUCKETS = 5;

  /** A retry counts in each window that its bucket or its time of arrival may touch. */
  private static final int TAKEN_BUCKETS = WINDOW_BUCKETS + ARRIVAL_BUCKETS + 1;

  /** Longest time for which a retry that was taken counts, in milliseconds. */
  static final long MEMORY_MS = TAKEN_BUCKETS * BUCKET_MS;

  /** A first attempt, which was sent a little earlier, counts where it surely lies inside. */
  private static final int FIRST_BUCKETS = WINDOW_BUCKETS - 1;

  private static final int RING_BUCKETS = 2 * WINDOW_BUCKETS;
  private static final int PERCENT = 100;

  /** First attempts are counted in two windows, whose mean applies. */
  private static final int COUNTED_WINDOWS = 2;

  private final Clock clock;
  private final int ratioPercent;
  private final Supplier<RetryShare> share;
  private final int[] firstAttemptsByBucket = new int[RING_BUCKETS];
  private final int[] takenByBucket = new int[RING_BUCKETS];
  private long bucketIndex;

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
    firstAttemptsByBucket[(int) (bucketIndex % RING_BUCKETS)]++;
  }

  @Override
  public synchronized RetryDecision take() {
    slide();
    RetryDecision decision = decide(share.get());
    if (decision.granted()) {
      takenByBucket[(int) (bucketIndex % RING_BUCKETS)]++;
    }
    return decision;
  }

  /** Checks every window that contains the current time; the one with the least room decides. */
  private RetryDecision decide(RetryShare current) {
    int[] firstSums = sumsByAge(firstAttemptsByBucket);
    int[] takenSums = sumsByAge(takenByBucket);
    long leastRoom = Long.MAX_VALUE;
    int taken = 0;
    int firstAttempts = 0;
    for (int remaining = 0; remaining < TAKEN_BUCKETS; remaining++) {
      int takenInWindow = takenSums[Math.min(RING_BUCKETS, TAKEN_BUCKETS - remaining)];
      int inWindow = firstSums[Math.max(0, FIRST_BUCKETS - remaining)];
      int inWindowBefore =
          firstSums[WINDOW_BUCKETS + FIRST_BUCKETS - remaining]
              - firstSums[Math.max(0, WINDOW_BUCKETS + 1 - remaining)];
      int firstInBoth = inWindow + inWindowBefore;
      long room = room(takenInWindow + 1L, firstInBoth, current);
      if (room < leastRoom) {
        leastRoom = room;
        taken = takenInWindow;
        firstAttempts = firstInBoth / COUNTED_WINDOWS;
      }
    }
    boolean granted = leastRoom >= 0;
    return new RetryDecision(granted, granted ? taken + 1 : taken, firstAttempts, current);
  }

  /** Returns what remains, in a unit in which shares and percentages are whole numbers. */
  private long room(long taken, long firstInBoth, RetryShare current) {
    long unit = (long) COUNTED_WINDOWS * PERCENT;
    return firstInBoth * ratioPercent * current.vms()
        + unit * current.constant()
        - taken * unit * current.vms();
  }

  /** Returns at index n the sum of the n newest buckets. */
  private int[] sumsByAge(int[] buckets) {
    int[] sums = new int[RING_BUCKETS + 1];
    for (int age = 0; age < RING_BUCKETS; age++) {
      int bucket = (int) Math.floorMod(bucketIndex - age, (long) RING_BUCKETS);
      sums[age + 1] = sums[age] + buckets[bucket];
    }
    return sums;
  }

  private void slide() {
    long index = clock.millis() / BUCKET_MS;
    long expiring = Math.min(RING_BUCKETS, index - bucketIndex);
    for (long step = 1; step <= expiring; step++) {
      int bucket = (int) ((bucketIndex + step) % RING_BUCKETS);
      firstAttemptsByBucket[bucket] = 0;
      takenByBucket[bucket] = 0;
    }
    bucketIndex = Math.max(bucketIndex, index);
  }
}
