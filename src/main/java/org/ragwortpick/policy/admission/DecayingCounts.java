package org.ragwortpick.policy.admission;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Amounts by key that halve in a constant time, so that recent work weighs most. Confined to one
 * thread.
 *
 * @param <K> type of the keys
 */
public final class DecayingCounts<K> {

  /**
   * Time in which an amount halves. It is shorter than a burst of a few seconds and longer than the
   * interval between the requests of a small workspace.
   */
  private static final double HALF_LIFE_MS = 2_000;

  /** Amount below which a key is dropped. */
  private static final double MIN_AMOUNT = 0.05;

  /** Time between two passes that drop keys. */
  private static final long EXPIRY_INTERVAL_MS = 1_000;

  /** Number of half-lives after which the amounts are scaled down, far below an overflow. */
  private static final long MAX_HALF_LIVES = 100;

  private final Clock clock;
  private final Map<K, Double> scaledAmounts = new HashMap<>();
  private long originMs;
  private long scaledAtMs = Long.MIN_VALUE;
  private double scale = 1;
  private long expiredAtMs;

  /**
   * Creates counts of zero.
   *
   * @param clock monotonic clock
   */
  public DecayingCounts(Clock clock) {
    this.clock = clock;
    this.originMs = clock.millis();
    this.expiredAtMs = originMs;
  }

  /**
   * Returns the factor by which amounts of this moment are scaled up. Stored amounts then need no
   * update as they decay, and a pass over all keys computes one power.
   */
  private double scale() {
    long nowMs = clock.millis();
    if (nowMs != scaledAtMs) {
      if (nowMs - originMs > MAX_HALF_LIVES * HALF_LIFE_MS) {
        double factor = Math.pow(2, (originMs - nowMs) / HALF_LIFE_MS);
        scaledAmounts.replaceAll((key, scaled) -> scaled * factor);
        originMs = nowMs;
      }
      scaledAtMs = nowMs;
      scale = Math.pow(2, (nowMs - originMs) / HALF_LIFE_MS);
    }
    return scale;
  }

  /**
   * Adds an amount.
   *
   * @param key the key
   * @param amount the amount; a negative one takes back what was added
   */
  public void add(K key, double amount) {
    double factor = scale();
    if (scaledAtMs - expiredAtMs >= EXPIRY_INTERVAL_MS) {
      expiredAtMs = scaledAtMs;
      scaledAmounts.values().removeIf(scaled -> scaled < MIN_AMOUNT * factor);
    }
    scaledAmounts.merge(
        key,
        Math.max(0, amount) * factor,
        (scaled, added) -> Math.max(0, scaled + amount * factor));
  }

  /**
   * Returns the amount of a key.
   *
   * @param key the key
   * @return the decayed amount
   */
  public double get(K key) {
    // The scale may be reset, which changes the amounts.
    double factor = scale();
    return scaledAmounts.getOrDefault(key, 0.0) / factor;
  }

  /**
   * Returns the mean rate at which a key was added to in the recent past.
   *
   * @param key the key
   * @return amount per millisecond
   */
  public double perMs(K key) {
    return get(key) * Math.log(2) / HALF_LIFE_MS;
  }

  /**
   * Lists the keys.
   *
   * @return keys whose amount has not decayed
   */
  public Collection<K> keys() {
    return scaledAmounts.keySet();
  }

  /**
   * Returns the sum over all keys.
   *
   * @return the decayed sum
   */
  public double total() {
    double factor = scale();
    double sum = 0;
    for (double scaled : scaledAmounts.values()) {
      sum += scaled;
    }
    return sum / factor;
  }
}
