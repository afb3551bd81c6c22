package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Guards against new rules for services whose upstreams report no work time, or no longer do. */
public final class WorkTimeReportsTest {

  @Test
  public void onlyServiceThatReportedRecentlyIsReported() {
    ManualClock clock = new ManualClock();
    WorkTimeReports reports = new WorkTimeReports(clock);
    assertFalse(reports.anyReported());
    reports.record("s1");
    assertTrue(reports.isReported("s1"));
    assertFalse(reports.isReported("s2"));
    assertTrue(reports.anyReported());
    clock.advanceMs(60_000);
    assertFalse(reports.isReported("s1"));
    assertFalse(reports.anyReported());
  }
}
