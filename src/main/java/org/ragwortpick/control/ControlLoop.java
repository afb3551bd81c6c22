package org.ragwortpick.control;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Periodic work of the leader: advances transitions of data centres, then sends engine orders. */
public final class ControlLoop implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ControlLoop.class);
  private static final long POLL_INTERVAL_MS = 250;

  private final DataCentreTransitions transitions;
  private final EngineOrders orders;
  private final ScheduledFuture<?> schedule;

  /**
   * Starts the loop.
   *
   * @param transitions transitions of data centres
   * @param orders engine orders
   * @param scheduler runs the loop
   */
  public ControlLoop(
      DataCentreTransitions transitions, EngineOrders orders, ScheduledExecutorService scheduler) {
    this.transitions = transitions;
    this.orders = orders;
    this.schedule =
        scheduler.scheduleWithFixedDelay(
            this::runOnce, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void runOnce() {
    try {
      transitions.poll();
      orders.poll();
    } catch (RuntimeException e) {
      // An uncaught exception would cancel the schedule and stop all transitions of data centres.
      LOG.errorf(e, "control loop iteration failed; the next one runs in %d ms", POLL_INTERVAL_MS);
    }
  }

  @Override
  public void close() {
    schedule.cancel(false);
  }
}
