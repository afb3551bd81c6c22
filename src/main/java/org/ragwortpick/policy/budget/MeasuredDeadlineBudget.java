package org.ragwortpick.policy.budget;

import java.time.Clock;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.measure.SlidingQuantiles;
import org.ragwortpick.policy.measure.SlidingQuantiles.Quantiles;

/**
 * Deadline budget from the measured times of each stage.
 *
 * <p>A stage leaves the p95 of the later stages to them; if that leaves it less than twice its own,
 * it leaves them only their median. Whether a started request can still finish is judged by
 * medians, because the sum of p95 values stops requests of which most would finish. How long a
 * request may wait before its first stage is judged by p95 values, because others can use the
 * place.
 */
public final class MeasuredDeadlineBudget implements DeadlineBudget {

  private static final long WINDOW_MS = 20_000;
  private static final int WINDOW_PARTS = 5;

  /** A stage with fewer samples counts as needing no time, so that a new pipeline can start. */
  private static final int MIN_SAMPLES = 20;

  /** Cutting a stage at its own p95 would stop one request in twenty. */
  private static final int OWN_FACTOR = 2;

  private static final Quantiles NOTHING = new Quantiles(0, 0, 0);

  private final Clock clock;
  private final ConcurrentHashMap<StageKey, SlidingQuantiles> stages = new ConcurrentHashMap<>();

  private record StageKey(String pipeline, int stageIndex) {}

  /**
   * Creates a budget without measurements.
   *
   * @param clock clock
   */
  public MeasuredDeadlineBudget(Clock clock) {
    this.clock = clock;
  }

  @Override
  public long stageBudgetMs(Pipeline pipeline, int stageIndex, long remainingMs) {
    if (remainingMs <= 0) {
      return 0;
    }
    long laterMs = needMs(pipeline, stageIndex + 1, Quantiles::highMs);
    long ownMs = needMs(pipeline, stageIndex, Quantiles::highMs) - laterMs;
    long atMostMs = remainingMs - needMs(pipeline, stageIndex + 1, Quantiles::medianMs);
    return Math.max(1, Math.max(remainingMs - laterMs, Math.min(OWN_FACTOR * ownMs, atMostMs)));
  }

  @Override
  public boolean canFinish(Pipeline pipeline, int stageIndex, long remainingMs) {
    return remainingMs > 0 && needMs(pipeline, stageIndex, Quantiles::medianMs) <= remainingMs;
  }

  @Override
  public long needMs(Pipeline pipeline, int stageIndex) {
    long medianMs = 0;
    double squares = 0;
    for (int i = stageIndex; i < pipeline.stages().size(); i++) {
      Quantiles stage = measured(pipeline, i);
      double spreadMs = stage.highMs() - stage.medianMs();
      medianMs += stage.medianMs();
      squares += spreadMs * spreadMs;
    }
    return medianMs + (long) Math.sqrt(squares);
  }

  @Override
  public void recordStage(Pipeline pipeline, int stageIndex, long elapsedMs) {
    stages
        .computeIfAbsent(
            new StageKey(pipeline.name(), stageIndex),
            key -> new SlidingQuantiles(clock, WINDOW_MS, WINDOW_PARTS))
        .record(elapsedMs);
  }

  private long needMs(Pipeline pipeline, int from, ToLongFunction<Quantiles> need) {
    long sumMs = 0;
    for (int i = from; i < pipeline.stages().size(); i++) {
      sumMs += need.applyAsLong(measured(pipeline, i));
    }
    return sumMs;
  }

  private Quantiles measured(Pipeline pipeline, int stageIndex) {
    SlidingQuantiles stage = stages.get(new StageKey(pipeline.name(), stageIndex));
    Quantiles quantiles = stage == null ? NOTHING : stage.read();
    return quantiles.count() < MIN_SAMPLES ? NOTHING : quantiles;
  }
}
