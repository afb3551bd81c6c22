package org.ragwortpick.vm;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionLedger;

/**
 * Reads execution records at start, so that the leaders of their groups are known before the first
 * caller needs them.
 *
 * <p>The first call of a process opens a channel and loads classes. On a busy machine this took
 * longer than the deadline of a booking, whose outcome was then unknown.
 */
final class LedgerWarmUp {

  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final long RETRY_INTERVAL_MS = 500;

  /** Keys read per group; enough that their hashes cover each group with high probability. */
  private static final int KEYS_PER_GROUP = 8;

  private final ExecutionLedger ledger;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates the warm-up.
   *
   * @param ledger ledger of the execution records
   * @param scheduler executor of the retries
   */
  LedgerWarmUp(ExecutionLedger ledger, ScheduledExecutorService scheduler) {
    this.ledger = ledger;
    this.scheduler = scheduler;
  }

  /**
   * Starts the reads, each of which is retried until it succeeds.
   *
   * @param groups number of groups of execution records
   */
  void start(int groups) {
    for (int i = 0; i < groups * KEYS_PER_GROUP; i++) {
      readUntilSuccess(new ExecutionKey("warm-up-" + i, "warm-up"));
    }
  }

  private void readUntilSuccess(ExecutionKey key) {
    ledger
        .status(key, CALL_TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              if (failure != null || result.isLeft()) {
                scheduler.schedule(
                    () -> readUntilSuccess(key), RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
              }
            });
  }
}
