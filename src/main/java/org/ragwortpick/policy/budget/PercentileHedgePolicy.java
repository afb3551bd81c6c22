package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.measure.SlidingQuantiles;
import org.ragwortpick.policy.measure.SlidingQuantiles.Quantiles;

/**
 * Hedges an idempotent stage once its first byte takes longer than the measured p95. The caller is
 * responsible for taking the hedge from the retry budget.
 */
public final class PercentileHedgePolicy implements HedgePolicy {

  private static final long WINDOW_MS = 20_000;
  private static final int WINDOW_BUCKETS = 5;

  /** With fewer samples the p95 depends only on the slowest one or two. */
  private static final int MIN_SAMPLES = 40;

  /**
   * A stage is hedged only after it has used its budget divided by this number; before that, its
   * deadline is not at risk. Hedging at the p95 alone adds 5% to 10% of attempts without more
   * requests meeting their deadline.
   */
  private static final long STAGE_BUDGET_DIVISOR = 3;

  /** With a shorter delay, scheduling delays of the local VM would cause hedges. */
  private static final long MIN_DELAY_MS = 5;

  private final Clock clock;
  private final ConcurrentHashMap<String, SlidingQuantiles> firstByteTimes =
      new ConcurrentHashMap<>();
  private volatile Configuration configuration;

  /**
   * Creates a policy without measurements.
   *
   * @param clock monotonic clock
   * @param configuration configuration in force
   */
  public PercentileHedgePolicy(Clock clock, Configuration configuration) {
    this.clock = clock;
    this.configuration = configuration;
  }

  /**
   * Applies a configuration.
   *
   * @param newConfiguration configuration in force
   */
  public void update(Configuration newConfiguration) {
    configuration = newConfiguration;
  }

  @Override
  public OptionalLong delayMs(String service) {
    SlidingQuantiles measured = firstByteTimes.get(service);
    if (measured == null || configuration.isNonIdempotent(service)) {
      return OptionalLong.empty();
    }
    Quantiles quantiles = measured.snapshot();
    return quantiles.count() < MIN_SAMPLES
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(MIN_DELAY_MS, quantiles.p95Ms()));
  }

  @Override
  public OptionalLong delayMs(String service, long stageBudgetMs) {
    OptionalLong delayMs = delayMs(service);
    return delayMs.isEmpty()
        ? delayMs
        : OptionalLong.of(Math.max(delayMs.getAsLong(), stageBudgetMs / STAGE_BUDGET_DIVISOR));
  }

  @Override
  public void recordFirstByte(String service, long elapsedMs) {
    firstByteTimes
        .computeIfAbsent(service, name -> new SlidingQuantiles(clock, WINDOW_MS, WINDOW_BUCKETS))
        .record(elapsedMs);
  }
}
