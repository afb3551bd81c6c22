package org.ragwortpick.consensus;

import java.io.IOException;
import java.util.Optional;

/**
 * Whether the disk of a replica accepts writes, and when to try again after a refused write. The
 * wait between tries grows. Not thread-safe.
 */
final class StorageHealth {

  private static final long MIN_WAIT_MS = 50;
  private static final long MAX_WAIT_MS = 1_000;

  private Optional<String> failure = Optional.empty();
  private long failedSinceMs;
  private long waitMs;
  private long nextTryMs;

  /**
   * Records a refused write.
   *
   * @param cause the error
   * @param nowMs monotonic time
   * @return whether the write before it succeeded
   */
  boolean onFailure(IOException cause, long nowMs) {
    boolean first = failure.isEmpty();
    if (first) {
      failedSinceMs = nowMs;
    }
    waitMs = first ? MIN_WAIT_MS : Math.min(2 * waitMs, MAX_WAIT_MS);
    nextTryMs = nowMs + waitMs;
    failure = Optional.of(cause.toString());
    return first;
  }

  /** Records a successful write. */
  void onSuccess() {
    failure = Optional.empty();
  }

  /**
   * Returns the cause of the last refused write.
   *
   * @return the cause; empty if the last write succeeded
   */
  Optional<String> failure() {
    return failure;
  }

  /**
   * Returns since when writes are refused.
   *
   * @return monotonic time of the first refused write; only meaningful while there is a failure
   */
  long failedSinceMs() {
    return failedSinceMs;
  }

  /**
   * Returns whether a write may be started.
   *
   * @param nowMs monotonic time
   * @return whether the last write succeeded or the wait after it is over
   */
  boolean mayWrite(long nowMs) {
    return failure.isEmpty() || nowMs >= nextTryMs;
  }
}
