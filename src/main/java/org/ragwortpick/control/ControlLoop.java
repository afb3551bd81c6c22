package org.ragwortpick.control;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Runs the periodic work of the leader: moves of data centres, then orders to engines. */
public final class ControlLoop implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ControlLoop.class);
  private static final long INTERVAL_MS = 250;

  private final DataCentreMoves moves;
  private final EngineOrders orders;
  private final ScheduledFuture<?> schedule;

  /**
   * Starts the loop.
   *
   * @param moves moves of data centres
   * @param orders orders to engines
   * @param scheduler runs the loop
   */
  public ControlLoop(
      DataCentreMoves moves, EngineOrders orders, ScheduledExecutorService scheduler) {
    this.moves = moves;
    this.orders = orders;
    this.schedule =
        scheduler.scheduleWithFixedDelay(
            this::runOnce, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void runOnce() {
    try {
      moves.poll();
      orders.poll();
    } catch (RuntimeException e) {
      // An exception would end the schedule, and no data centre would move any more.
      LOG.errorf(e, "the control loop failed once; it goes on");
    }
  }

  @Override
  public void close() {
    schedule.cancel(false);
  }
}
