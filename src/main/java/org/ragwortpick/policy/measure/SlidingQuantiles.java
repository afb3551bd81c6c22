package org.ragwortpick.policy.measure;

import java.time.Clock;
import org.HdrHistogram.IntCountsHistogram;

/** Median and p95 of the times recorded within a sliding window. */
public final class SlidingQuantiles {

  private static final long MAX_VALUE_MS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double MEDIAN_PERCENT = 50;
  private static final double P95_PERCENT = 95;

  /** Computing a percentile scans the whole histogram, so results are reused for this time. */
  private static final long REFRESH_MS = 100;

  private final Clock clock;
  private final long bucketMs;
  private final IntCountsHistogram[] buckets;
  private final IntCountsHistogram total = histogram();
  private long bucketIndex;
  private long refreshedAtMs = Long.MIN_VALUE;
  private Quantiles quantiles = new Quantiles(0, 0, 0);

  /**
   * Statistics of a window.
   *
   * @param count number of recorded times
   * @param medianMs median in milliseconds
   * @param p95Ms p95 in milliseconds
   */
  public record Quantiles(long count, long medianMs, long p95Ms) {}

  /**
   * Creates an empty window.
   *
   * @param clock monotonic clock
   * @param windowMs length of the window in milliseconds
   * @param buckets number of buckets of the window; the oldest is dropped when the window slides
   */
  public SlidingQuantiles(Clock clock, long windowMs, int buckets) {
    this.clock = clock;
    this.bucketMs = Math.max(1, windowMs / buckets);
    this.buckets = new IntCountsHistogram[buckets];
    this.bucketIndex = clock.millis() / bucketMs;
  }

  private static IntCountsHistogram histogram() {
    return new IntCountsHistogram(MAX_VALUE_MS, SIGNIFICANT_DIGITS);
  }

  /**
   * Records a time.
   *
   * @param elapsedMs time in milliseconds
   */
  public synchronized void record(long elapsedMs) {
    slide(clock.millis());
    long valueMs = Math.max(0, Math.min(MAX_VALUE_MS, elapsedMs));
    int position = (int) (bucketIndex % buckets.length);
    if (buckets[position] == null) {
      buckets[position] = histogram();
    }
    buckets[position].recordValue(valueMs);
    total.recordValue(valueMs);
  }

  /**
   * Returns the statistics of the window, at most 100 ms old.
   *
   * @return count, median and p95
   */
  public synchronized Quantiles snapshot() {
    long nowMs = clock.millis();
    boolean fresh = refreshedAtMs != Long.MIN_VALUE && nowMs - refreshedAtMs < REFRESH_MS;
    if (!fresh) {
      slide(nowMs);
      refreshedAtMs = nowMs;
      quantiles =
          new Quantiles(
              total.getTotalCount(),
              total.getValueAtPercentile(MEDIAN_PERCENT),
              total.getValueAtPercentile(P95_PERCENT));
    }
    return quantiles;
  }

  private void slide(long nowMs) {
    long index = nowMs / bucketMs;
    long expiring = Math.min(buckets.length, index - bucketIndex);
    for (long step = 1; step <= expiring; step++) {
      IntCountsHistogram bucket = buckets[(int) ((bucketIndex + step) % buckets.length)];
      if (bucket != null && bucket.getTotalCount() > 0) {
        total.subtract(bucket);
        bucket.reset();
      }
    }
    bucketIndex = Math.max(bucketIndex, index);
  }
}
