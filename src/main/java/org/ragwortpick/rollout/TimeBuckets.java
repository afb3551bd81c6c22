package org.ragwortpick.rollout;

/** Buckets of response times, four for each doubling, so that ratios of times can be compared. */
final class TimeBuckets {

  /** Number of buckets; the last one starts at 55 s, longer than any deadline in use. */
  static final int COUNT = 64;

  private static final double BUCKETS_PER_DOUBLING = 4;
  private static final double LOG_2 = Math.log(2);

  private TimeBuckets() {}

  /**
   * Returns the bucket of a time.
   *
   * @param timeMs time in milliseconds
   * @return index of the bucket
   */
  static int indexOf(long timeMs) {
    double doublings = Math.log(Math.max(1, timeMs)) / LOG_2;
    return Math.min(COUNT - 1, (int) (doublings * BUCKETS_PER_DOUBLING));
  }
}
