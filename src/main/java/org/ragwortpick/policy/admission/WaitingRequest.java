package org.ragwortpick.policy.admission;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

/**
 * Request that waits for admission.
 *
 * @param deadlineAtMs time at which the request is refused
 * @param sequence order of arrival
 * @param result completed with true once the request may run, with false if it is refused
 */
record WaitingRequest(long deadlineAtMs, long sequence, CompletableFuture<Boolean> result) {

  /** Earliest deadline first; equal deadlines in the order of arrival. */
  static final Comparator<WaitingRequest> BY_DEADLINE =
      Comparator.comparingLong(WaitingRequest::deadlineAtMs)
          .thenComparingLong(WaitingRequest::sequence);
}
