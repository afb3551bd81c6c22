package org.ragwortpick.vm;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;

/** Registers the gauges of the entry role. */
final class EntryGauges {

  private final PrometheusRegistry registry;

  /**
   * Creates an instance.
   *
   * @param registry receives the gauges
   */
  EntryGauges(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers a gauge.
   *
   * @param name full name, by which operators find it
   * @param help what it counts
   * @param value supplies its value when the metrics are read
   */
  void register(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsLong()))
        .register(registry);
  }
}
