package org.ragwortpick.bench;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.ServiceKind;

/** Injects the fault of a scenario into a run. */
final class FaultInjector {

  private static final double FAULT_START_MS = 30_000;
  private static final double FAULT_END_MS = 60_000;
  private static final double RETURN_COMPLETED_MS = 75_000;
  private static final double SLOW_SERVICE_FACTOR = 5;
  private static final double SLOW_UPSTREAM_FACTOR = 20;
  private static final double SLOW_ENGINE_FACTOR = 3;

  private final EventQueue queue;
  private final List<UpstreamModel> upstreams;
  private final BenchRun run;

  /**
   * Creates an injector for a run.
   *
   * @param queue event queue
   * @param upstreams all upstreams of the run
   * @param run run in which data centres and VMs change their state
   */
  FaultInjector(EventQueue queue, List<UpstreamModel> upstreams, BenchRun run) {
    this.queue = queue;
    this.upstreams = upstreams;
    this.run = run;
  }

  /**
   * Schedules the start and the end of a fault.
   *
   * @param fault the fault
   */
  void schedule(Scenario.Fault fault) {
    switch (fault) {
      case SLOW_STAGE -> {
        scheduleSlowdown(ServiceKind.RETRIEVER, SLOW_SERVICE_FACTOR, Integer.MAX_VALUE);
        scheduleSlowdown(ServiceKind.RETRIEVER, SLOW_UPSTREAM_FACTOR, 1);
        scheduleSlowdown(ServiceKind.ENGINE, SLOW_ENGINE_FACTOR, 1);
      }
      case COLD_START -> {
        int third = (int) Math.ceil(upstreamsOf(ServiceKind.ENGINE).size() / 3.0);
        queue.schedule(
            FAULT_START_MS, () -> applyToFirst(ServiceKind.ENGINE, third, UpstreamModel::restart));
      }
      case SILENT_COLD -> {
        queue.schedule(
            FAULT_START_MS,
            () -> applyToFirst(ServiceKind.ENGINE, 1, UpstreamModel::becomeColdSilently));
        queue.schedule(
            FAULT_END_MS,
            () -> applyToFirst(ServiceKind.ENGINE, 1, UpstreamModel::becomeColdSilently));
      }
      case FAILING -> {
        queue.schedule(FAULT_START_MS, () -> setLosesResponses(true));
        queue.schedule(FAULT_END_MS, () -> setLosesResponses(false));
      }
      case MOVE -> scheduleTakeOutAndReturn();
      case MOVE_ISOLATED -> {
        scheduleTakeOutAndReturn();
        queue.schedule(FAULT_START_MS - 1, () -> run.setIsolated(0, true));
        queue.schedule(RETURN_COMPLETED_MS, () -> run.setIsolated(0, false));
      }
      default -> {}
    }
  }

  private void scheduleTakeOutAndReturn() {
    String dataCentre = run.dataCentre(1);
    queue.schedule(FAULT_START_MS, () -> run.setDataCentreState(dataCentre, DataCentreState.OUT));
    queue.schedule(
        FAULT_END_MS, () -> run.setDataCentreState(dataCentre, DataCentreState.RETURNING));
    queue.schedule(
        RETURN_COMPLETED_MS, () -> run.setDataCentreState(dataCentre, DataCentreState.IN));
  }

  private void scheduleSlowdown(ServiceKind kind, double factor, int count) {
    queue.schedule(
        FAULT_START_MS,
        () -> applyToFirst(kind, count, upstream -> upstream.setSlowFactor(factor)));
    queue.schedule(
        FAULT_END_MS, () -> applyToFirst(kind, count, upstream -> upstream.setSlowFactor(1)));
  }

  private void setLosesResponses(boolean losesResponses) {
    for (ServiceKind kind : ServiceKind.values()) {
      applyToFirst(kind, 1, upstream -> upstream.setLosesResponses(losesResponses));
    }
  }

  private void applyToFirst(ServiceKind kind, int count, Consumer<UpstreamModel> action) {
    upstreamsOf(kind).stream().limit(count).forEach(action);
  }

  private List<UpstreamModel> upstreamsOf(ServiceKind kind) {
    return upstreams.stream().filter(upstream -> upstream.service().kind() == kind).toList();
  }
}
