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
 * Proposes sweeps of the groups whose leader is the local replica. A sweep changes PENDING records
 * with an expired lease to UNKNOWN and drops records after their retention time. No sweep is
 * proposed unless a change is due.
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
   * @param wallClock clock for the time stamps of commands
   * @param scheduler executor of the sweeps
   */
  public LedgerSweeper(
      List<LedgerGroup> groups, Clock wallClock, ScheduledExecutorService scheduler) {
    this.groups = List.copyOf(groups);
    this.wallClock = wallClock;
    this.schedule =
        scheduler.scheduleWithFixedDelay(
            this::sweepAll, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Proposes a sweep of each led group in which a change is due. */
  void sweepAll() {
    for (LedgerGroup group : groups) {
      try {
        sweep(group);
      } catch (RuntimeException e) {
        // An uncaught exception would cancel the schedule, and records would stay PENDING forever.
        LOG.errorf(e, "sweep of group %s failed; retrying in %d ms", group.name(), INTERVAL_MS);
      }
    }
  }

  private void sweep(LedgerGroup group) {
    long nowMs = wallClock.millis();
    if (!group.consensus().leadership().leader() || !group.stateMachine().isSweepDue(nowMs)) {
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
                        error ->
                            LOG.debugf(
                                "sweep of group %s failed: %s", group.name(), error.message())));
  }

  @Override
  public void close() {
    schedule.cancel(false);
  }
}
