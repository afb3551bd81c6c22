package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.measure.SlidingQuantiles;
import org.ragwortpick.policy.measure.SlidingQuantiles.Quantiles;

/**
 * Deadline budget based on the measured times of each stage.
 *
 * <p>The budget of a stage is the remaining time less the p95 values of the later stages. If that
 * is less than twice the p95 of the stage itself, the budget is raised to this value, but at most
 * to the remaining time less the medians of the later stages. Whether a started request can still
 * finish is decided by medians, because the sum of p95 values would stop requests most of which
 * would finish. The latest start of a request is decided by p95 values, because other requests can
 * use the slot.
 */
public final class MeasuredDeadlineBudget implements DeadlineBudget {

  private static final long WINDOW_MS = 20_000;
  private static final int WINDOW_BUCKETS = 5;

  /** A stage with fewer samples is assumed to take no time, so that a new pipeline can start. */
  private static final int MIN_SAMPLES = 20;

  /** A budget of exactly the own p95 would stop one request in twenty. */
  private static final int OWN_P95_FACTOR = 2;

  private static final Quantiles NO_MEASUREMENTS = new Quantiles(0, 0, 0);

  private final Clock clock;
  private final ConcurrentHashMap<StageKey, SlidingQuantiles> stages = new ConcurrentHashMap<>();

  private record StageKey(String pipeline, int stageIndex) {}

  /**
   * Creates a budget without measurements.
   *
   * @param clock monotonic clock
   */
  public MeasuredDeadlineBudget(Clock clock) {
    this.clock = clock;
  }

  @Override
  public long stageBudgetMs(Pipeline pipeline, int stageIndex, long remainingMs) {
    if (remainingMs <= 0) {
      return 0;
    }
    long laterP95Ms = sumMs(pipeline, stageIndex + 1, Quantiles::p95Ms);
    long ownP95Ms = sumMs(pipeline, stageIndex, Quantiles::p95Ms) - laterP95Ms;
    long maxMs = remainingMs - sumMs(pipeline, stageIndex + 1, Quantiles::medianMs);
    return Math.max(
        1, Math.max(remainingMs - laterP95Ms, Math.min(OWN_P95_FACTOR * ownP95Ms, maxMs)));
  }

  @Override
  public boolean canFinish(Pipeline pipeline, int stageIndex, long remainingMs) {
    return remainingMs > 0 && sumMs(pipeline, stageIndex, Quantiles::medianMs) <= remainingMs;
  }

  @Override
  public long estimateRemainingMs(Pipeline pipeline, int stageIndex) {
    long medianMs = 0;
    double sumOfSquares = 0;
    // The times of the stages are assumed to be independent, so their spreads add up as squares.
    for (int i = stageIndex; i < pipeline.stages().size(); i++) {
      Quantiles stage = quantiles(pipeline, i);
      double spreadMs = stage.p95Ms() - stage.medianMs();
      medianMs += stage.medianMs();
      sumOfSquares += spreadMs * spreadMs;
    }
    return medianMs + (long) Math.sqrt(sumOfSquares);
  }

  @Override
  public void recordStage(Pipeline pipeline, int stageIndex, long elapsedMs) {
    stages
        .computeIfAbsent(
            new StageKey(pipeline.name(), stageIndex),
            key -> new SlidingQuantiles(clock, WINDOW_MS, WINDOW_BUCKETS))
        .record(elapsedMs);
  }

  private long sumMs(Pipeline pipeline, int fromStage, ToLongFunction<Quantiles> quantile) {
    long sumMs = 0;
    for (int i = fromStage; i < pipeline.stages().size(); i++) {
      sumMs += quantile.applyAsLong(quantiles(pipeline, i));
    }
    return sumMs;
  }

  private Quantiles quantiles(Pipeline pipeline, int stageIndex) {
    SlidingQuantiles stage = stages.get(new StageKey(pipeline.name(), stageIndex));
    Quantiles quantiles = stage == null ? NO_MEASUREMENTS : stage.snapshot();
    return quantiles.count() < MIN_SAMPLES ? NO_MEASUREMENTS : quantiles;
  }
}
