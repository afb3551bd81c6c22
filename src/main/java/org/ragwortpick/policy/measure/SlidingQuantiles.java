package org.ragwortpick.policy.measure;

import java.time.Clock;
import org.HdrHistogram.IntCountsHistogram;

/** Median and p95 of the times recorded within a sliding window. */
public final class SlidingQuantiles {

  private static final long HIGHEST_MS = 120_000;
  private static final int DIGITS = 2;
  private static final double MEDIAN_PERCENT = 50;
  private static final double HIGH_PERCENT = 95;

  /** Reading a percentile walks the whole histogram, so it is read again only after this time. */
  private static final long REFRESH_MS = 100;

  private final Clock clock;
  private final long partMs;
  private final IntCountsHistogram[] parts;
  private final IntCountsHistogram total = histogram();
  private long partIndex;
  private long refreshedAtMs = Long.MIN_VALUE;
  private Quantiles quantiles = new Quantiles(0, 0, 0);

  /**
   * Values of a window.
   *
   * @param count recorded times
   * @param medianMs median in milliseconds
   * @param highMs p95 in milliseconds
   */
  public record Quantiles(long count, long medianMs, long highMs) {}

  /**
   * Creates an empty window.
   *
   * @param clock clock
   * @param windowMs length of the window in milliseconds
   * @param parts number of parts in which the window slides
   */
  public SlidingQuantiles(Clock clock, long windowMs, int parts) {
    this.clock = clock;
    this.partMs = Math.max(1, windowMs / parts);
    this.parts = new IntCountsHistogram[parts];
    this.partIndex = clock.millis() / partMs;
  }

  private static IntCountsHistogram histogram() {
    return new IntCountsHistogram(HIGHEST_MS, DIGITS);
  }

  /**
   * Records a time.
   *
   * @param elapsedMs time in milliseconds
   */
  public synchronized void record(long elapsedMs) {
    slide(clock.millis());
    long valueMs = Math.max(0, Math.min(HIGHEST_MS, elapsedMs));
    int position = (int) (partIndex % parts.length);
    if (parts[position] == null) {
      parts[position] = histogram();
    }
    parts[position].recordValue(valueMs);
    total.recordValue(valueMs);
  }

  /**
   * Returns the values of the window, at most 100 ms old.
   *
   * @return count, median and p95
   */
  public synchronized Quantiles read() {
    long nowMs = clock.millis();
    boolean fresh = refreshedAtMs != Long.MIN_VALUE && nowMs - refreshedAtMs < REFRESH_MS;
    if (!fresh) {
      slide(nowMs);
      refreshedAtMs = nowMs;
      quantiles =
          new Quantiles(
              total.getTotalCount(),
              total.getValueAtPercentile(MEDIAN_PERCENT),
              total.getValueAtPercentile(HIGH_PERCENT));
    }
    return quantiles;
  }

  private void slide(long nowMs) {
    long index = nowMs / partMs;
    long expiring = Math.min(parts.length, index - partIndex);
    for (long step = 1; step <= expiring; step++) {
      IntCountsHistogram part = parts[(int) ((partIndex + step) % parts.length)];
      if (part != null && part.getTotalCount() > 0) {
        total.subtract(part);
        part.reset();
      }
    }
    partIndex = Math.max(partIndex, index);
  }
}
