package org.ragwortpick.control;

import java.time.Clock;

/** Token bucket that limits the rate of loads from the weight store. Thread-safe. */
public final class TokenBucket {

  private static final long MILLI_TOKENS_PER_TOKEN = 1_000;

  private final long ratePerSecond;
  private final long burst;
  private final Clock monotonicClock;

  /** Tokens in thousandths, so that fractions of a token add up without rounding. */
  private long milliTokens;

  private long updatedAtMs;

  /**
   * Creates a full bucket.
   *
   * @param ratePerSecond tokens that are added per second, at least 1
   * @param burst maximum number of tokens in the bucket, at least 1
   * @param monotonicClock clock for the rate
   * @throws IllegalArgumentException if the rate or the burst is below 1
   */
  public TokenBucket(long ratePerSecond, long burst, Clock monotonicClock) {
    if (ratePerSecond < 1 || burst < 1) {
      throw new IllegalArgumentException(
          "rate " + ratePerSecond + " and burst " + burst + " must be at least 1");
    }
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.monotonicClock = monotonicClock;
    this.milliTokens = burst * MILLI_TOKENS_PER_TOKEN;
    this.updatedAtMs = monotonicClock.millis();
  }

  /**
   * Takes one token if one is available.
   *
   * @return true if a token was taken
   */
  public synchronized boolean tryTake() {
    long nowMs = monotonicClock.millis();
    milliTokens =
        Math.min(
            burst * MILLI_TOKENS_PER_TOKEN, milliTokens + (nowMs - updatedAtMs) * ratePerSecond);
    updatedAtMs = nowMs;
    if (milliTokens < MILLI_TOKENS_PER_TOKEN) {
      return false;
    }
    milliTokens -= MILLI_TOKENS_PER_TOKEN;
    return true;
  }
}
