package org.ragwortpick.consensus;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.Supplier;

/** Metrics of the local replicas. */
public final class ConsensusMetrics {

  private ConsensusMetrics() {}

  /**
   * Registers the metrics.
   *
   * @param registry metrics of the process
   * @param groups supplies the states of the local replicas
   */
  public static void register(PrometheusRegistry registry, Supplier<List<GroupStatus>> groups) {
    GaugeWithCallback.builder()
        .name("ragwortpick_consensus_commit_index")
        .help("Index of the last committed entry")
        .labelNames("group", "role")
        .callback(
            callback -> {
              for (GroupStatus group : groups.get()) {
                callback.call(group.commitIndex(), group.group(), group.role());
              }
            })
        .register(registry);
    GaugeWithCallback.builder()
        .name("ragwortpick_consensus_storage_failed")
        .help("1 while the disk refuses writes or after the replica has stopped, otherwise 0")
        .labelNames("group")
        .callback(
            callback -> {
              for (GroupStatus group : groups.get()) {
                callback.call(group.failure().isPresent() ? 1 : 0, group.group());
              }
            })
        .register(registry);
  }
}
