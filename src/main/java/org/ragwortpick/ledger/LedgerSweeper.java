package org.ragwortpick.ledger;

import java.time.Clock;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.SweepOperation;

/**
 * Makes the leader of each group turn PENDING records whose lease ended into UNKNOWN and drop
 * records after their retention time. Proposes nothing while nothing is due.
 */
public final class LedgerSweeper implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(LedgerSweeper.class);
  private static final long INTERVAL_MS = 250;

  private final List<LedgerGroup> groups;
  private final Clock wallClock;
  private final ScheduledFuture<?> schedule;

  /**
   * Starts the sweeps.
   *
   * @param groups local replicas
   * @param wallClock clock that is stamped into commands
   * @param scheduler runs the sweeps
   */
  public LedgerSweeper(
      List<LedgerGroup> groups, Clock wallClock, ScheduledExecutorService scheduler) {
    this.groups = List.copyOf(groups);
    this.wallClock = wallClock;
    this.schedule =
        scheduler.scheduleWithFixedDelay(
            this::sweepAll, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Sweeps each group that the local replica leads and in which something is due. */
  void sweepAll() {
    for (LedgerGroup group : groups) {
      try {
        sweep(group);
      } catch (RuntimeException e) {
        // An exception would end the schedule, and records would stay PENDING for ever.
        LOG.errorf(e, "the sweep of group %s failed; it is repeated", group.name());
      }
    }
  }

  private void sweep(LedgerGroup group) {
    long nowMs = wallClock.millis();
    if (!group.consensus().leadership().leader() || !group.machine().isSweepDue(nowMs)) {
      return;
    }
    LedgerCommand command =
        LedgerCommand.newBuilder()
            .setTimeMs(nowMs)
            .setSweep(SweepOperation.getDefaultInstance())
            .build();
    group
        .consensus()
        .propose(command.toByteArray())
        .thenAccept(
            result ->
                result
                    .swap()
                    .forEach(
                        error -> LOG.debugf("sweep of %s: %s", group.name(), error.message())));
  }

  @Override
  public void close() {
    schedule.cancel(false);
  }
}
