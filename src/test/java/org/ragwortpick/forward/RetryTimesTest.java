package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Retry times of requests that are refused under overload control. */
public final class RetryTimesTest {

  private final RetryTimes times = new RetryTimes(null, new ManualClock());

  private long afterMs(long waitMs, long remainingMs) {
    return times.afterPathRefused(
        new SubmissionEnd.Failed(SubmissionEnd.Cause.OVERLOADED, waitMs), remainingMs, 900);
  }

  /** A retry time that ends too late for the path of the request would never be served. */
  @Test
  public void retryLeavesTimeForPathBeforeDeadline() {
    assertEquals(afterMs(1_000, 6_000), 4_000);
    assertEquals(afterMs(1_000, 3_000), 1_100);
    assertEquals(afterMs(1_000, 1_500), RetryTimes.MIN_MS);
  }

  /** Callers that come back at once find the same queue. */
  @Test
  public void retryGivesQueueTimeToDrain() {
    assertEquals(afterMs(10, 6_000), 1_000);
  }
}
