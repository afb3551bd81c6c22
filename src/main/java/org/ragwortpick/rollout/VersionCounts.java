package org.ragwortpick.rollout;

import java.util.Arrays;

/** Responses of one version on one route: their number, failures and times to the first byte. */
public final class VersionCounts {

  private final long[] times;
  private long responses;
  private long failures;

  /** Creates counts of zero. */
  public VersionCounts() {
    this(0, 0, new long[0]);
  }

  /**
   * Creates counts.
   *
   * @param responses number of responses
   * @param failures number of failures among them
   * @param times number of responses by bucket of their time; further ones are zero
   */
  public VersionCounts(long responses, long failures, long[] times) {
    this.responses = responses;
    this.failures = failures;
    this.times = Arrays.copyOf(times, TimeBuckets.COUNT);
  }

  /**
   * Returns the number of responses.
   *
   * @return the number, failures included
   */
  public long responses() {
    return responses;
  }

  /**
   * Returns the number of failures.
   *
   * @return the number
   */
  public long failures() {
    return failures;
  }

  /**
   * Returns the numbers of responses by bucket of their time.
   *
   * @return the numbers without trailing zeros
   */
  public long[] times() {
    int length = times.length;
    while (length > 0 && times[length - 1] == 0) {
      length--;
    }
    return Arrays.copyOf(times, length);
  }

  /** Counts a response that failed. */
  void addFailure() {
    responses++;
    failures++;
  }

  /** Counts a valid response whose time says nothing. */
  void addUntimed() {
    responses++;
  }

  /**
   * Counts a valid response.
   *
   * @param timeMs time to its first byte in milliseconds
   */
  void addTimed(long timeMs) {
    responses++;
    times[TimeBuckets.indexOf(timeMs)]++;
  }

  /**
   * Adds or subtracts other counts.
   *
   * @param other the other counts
   * @param sign 1 to add, -1 to subtract
   */
  void add(VersionCounts other, int sign) {
    responses += sign * other.responses;
    failures += sign * other.failures;
    for (int i = 0; i < times.length; i++) {
      times[i] += sign * other.times[i];
    }
  }

  /**
   * Returns a copy.
   *
   * @return equal counts
   */
  VersionCounts copy() {
    return new VersionCounts(responses, failures, times);
  }

  /**
   * Returns the number of timed responses.
   *
   * @return the number
   */
  long timed() {
    return Arrays.stream(times).sum();
  }

  /**
   * Returns the number of timed responses above a bucket.
   *
   * @param bucket index of the bucket
   * @return the number
   */
  long above(int bucket) {
    return Arrays.stream(times, Math.min(times.length, bucket + 1), times.length).sum();
  }

  /**
   * Returns the bucket up to which a share of the timed responses arrived.
   *
   * @param share the share
   * @return index of the bucket; 0 without responses
   */
  int quantile(double share) {
    double wanted = share * timed();
    long seen = 0;
    for (int i = 0; i < times.length; i++) {
      seen += times[i];
      if (seen >= wanted) {
        return i;
      }
    }
    return times.length - 1;
  }
}
