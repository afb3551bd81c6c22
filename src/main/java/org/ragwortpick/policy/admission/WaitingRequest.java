package org.ragwortpick.policy.admission;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

/**
 * Request that waits for a place.
 *
 * @param deadlineAtMs time at which it is refused
 * @param sequence order of arrival
 * @param result completed with true once it may run
 */
record WaitingRequest(long deadlineAtMs, long sequence, CompletableFuture<Boolean> result) {

  /** Earliest deadline first; equal deadlines in the order of arrival. */
  static final Comparator<WaitingRequest> BY_DEADLINE =
      Comparator.comparingLong(WaitingRequest::deadlineAtMs)
          .thenComparingLong(WaitingRequest::sequence);
}
