package org.ragwortpick.bench;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.ServiceKind;

/** Schedules the fault of a scenario. */
final class Faults {

  private static final double FROM_MS = 30_000;
  private static final double TO_MS = 60_000;
  private static final double IN_MS = 75_000;
  private static final double SLOW_SERVICE = 5;
  private static final double SLOW_UPSTREAM = 20;
  private static final double SLOW_ENGINE = 3;

  private final EventQueue queue;
  private final List<UpstreamModel> upstreams;
  private final BenchRun run;

  /**
   * Creates faults.
   *
   * @param queue event queue
   * @param upstreams all upstreams
   * @param run the run
   */
  Faults(EventQueue queue, List<UpstreamModel> upstreams, BenchRun run) {
    this.queue = queue;
    this.upstreams = upstreams;
    this.run = run;
  }

  /**
   * Schedules a fault.
   *
   * @param fault the fault
   */
  void schedule(Scenario.Fault fault) {
    switch (fault) {
      case SLOW_STAGE -> {
        slow(ServiceKind.RETRIEVER, SLOW_SERVICE, Integer.MAX_VALUE);
        slow(ServiceKind.RETRIEVER, SLOW_UPSTREAM, 1);
        slow(ServiceKind.ENGINE, SLOW_ENGINE, 1);
      }
      case COLD_START -> {
        int third = (int) Math.ceil(of(ServiceKind.ENGINE).size() / 3.0);
        queue.after(FROM_MS, () -> firstOf(ServiceKind.ENGINE, third, UpstreamModel::restart));
      }
      case SILENT_COLD -> {
        queue.after(
            FROM_MS, () -> firstOf(ServiceKind.ENGINE, 1, UpstreamModel::becomeColdSilently));
        queue.after(TO_MS, () -> firstOf(ServiceKind.ENGINE, 1, UpstreamModel::becomeColdSilently));
      }
      case FAILING -> {
        queue.after(FROM_MS, () -> setFailing(true));
        queue.after(TO_MS, () -> setFailing(false));
      }
      case MOVE -> move();
      case MOVE_ISOLATED -> {
        move();
        queue.after(FROM_MS - 1, () -> run.setIsolated(0, true));
        queue.after(IN_MS, () -> run.setIsolated(0, false));
      }
      default -> {}
    }
  }

  private void move() {
    String dataCentre = run.dataCentre(1);
    queue.after(FROM_MS, () -> run.setState(dataCentre, DataCentreState.OUT));
    queue.after(TO_MS, () -> run.setState(dataCentre, DataCentreState.RETURNING));
    queue.after(IN_MS, () -> run.setState(dataCentre, DataCentreState.IN));
  }

  private void slow(ServiceKind kind, double factor, int count) {
    queue.after(FROM_MS, () -> firstOf(kind, count, upstream -> upstream.setSlowFactor(factor)));
    queue.after(TO_MS, () -> firstOf(kind, count, upstream -> upstream.setSlowFactor(1)));
  }

  private void setFailing(boolean failing) {
    for (ServiceKind kind : ServiceKind.values()) {
      firstOf(kind, 1, upstream -> upstream.setFailing(failing));
    }
  }

  private void firstOf(ServiceKind kind, int count, Consumer<UpstreamModel> action) {
    of(kind).stream().limit(count).forEach(action);
  }

  private List<UpstreamModel> of(ServiceKind kind) {
    return upstreams.stream().filter(upstream -> upstream.service().kind() == kind).toList();
  }
}
