package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against callers that use up their attempts while all VMs of a deployment start. */
public final class MissingConfigurationRetryTest {

  /** Time after the start of a VM within which a restarted deployment has its configuration. */
  private static final long ALL_VMS_START_MS = 2_000;

  private final MissingConfigurationRetry retry = new MissingConfigurationRetry(10_000);

  @Test
  public void retryTimeIsShortWithinFirstPoll() {
    assertEquals(retry.retryAfterMs(10_100), 200);
  }

  @Test
  public void retryTimeCoversStartOfAllVms() {
    for (long nowMs = 10_500; nowMs <= 10_000 + ALL_VMS_START_MS; nowMs += 100) {
      long retryAtMs = nowMs + retry.retryAfterMs(nowMs);
      assertTrue(
          retryAtMs >= 10_000 + ALL_VMS_START_MS, "the caller retries too early, at " + retryAtMs);
    }
  }
}
