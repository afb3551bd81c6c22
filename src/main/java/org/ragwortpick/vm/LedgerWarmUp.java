package org.ragwortpick.vm;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionLedger;

/**
 * Finds the leaders of the execution records before the first caller needs them.
 *
 * <p>The first call of a process opens a channel and loads classes. On a busy machine that took
 * longer than the deadline of a booking, whose outcome was then unknown.
 */
final class LedgerWarmUp {

  private static final long TIMEOUT_MS = 5_000;
  private static final long RETRY_MS = 500;

  /** Workspaces asked for per group, so that the hash reaches each group with high probability. */
  private static final int WORKSPACES_PER_GROUP = 8;

  private final ExecutionLedger ledger;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates the warm-up.
   *
   * @param ledger execution records
   * @param scheduler executor of the repetitions
   */
  LedgerWarmUp(ExecutionLedger ledger, ScheduledExecutorService scheduler) {
    this.ledger = ledger;
    this.scheduler = scheduler;
  }

  /**
   * Starts to ask.
   *
   * @param groups number of groups of execution records
   */
  void start(int groups) {
    for (int i = 0; i < groups * WORKSPACES_PER_GROUP; i++) {
      ask(new ExecutionKey("warm-up-" + i, "warm-up"));
    }
  }

  private void ask(ExecutionKey key) {
    ledger
        .status(key, TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              if (failure != null || result.isLeft()) {
                scheduler.schedule(() -> ask(key), RETRY_MS, TimeUnit.MILLISECONDS);
              }
            });
  }
}
