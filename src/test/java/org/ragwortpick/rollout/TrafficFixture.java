package org.ragwortpick.rollout;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Clock;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.sync.Upstream;

/** Creates the traffic of one VM. */
public final class TrafficFixture {

  private TrafficFixture() {}

  public static VersionTraffic withoutRollouts(Clock clock) {
    return of(() -> Configuration.EMPTY, () -> 0, List.of(), clock, 1);
  }

  public static VersionTraffic of(
      Supplier<Configuration> configuration,
      LongSupplier viewAgeMs,
      List<Upstream> upstreams,
      Clock clock,
      long seed) {
    return new VersionTraffic(
        configuration,
        viewAgeMs,
        service -> upstreams,
        clock,
        new Random(seed),
        new RolloutMetrics(new PrometheusRegistry()));
  }
}
