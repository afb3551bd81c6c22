package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.undertow.util.HeaderMap;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.entry.upstream.BodyFraming;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.logging.RecordedLines;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.limit.WorkTimeReports;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.Test;

/** Guards against floods of log lines about one upstream, and against wrong use of its reports. */
public final class LoadReportsTest {

  private static final Upstream UPSTREAM = TestUpstreams.upstream("u1", "s1", 1);

  private final ManualClock clock = new ManualClock();
  private final UpstreamEstimates estimates = new UpstreamEstimates(clock);
  private final WorkTimeReports workTimes = estimates.workTimes();
  private final LoadReports reports =
      new LoadReports(ForwardTestServer.HEADERS, estimates, new InvalidInputLog(clock));

  private void receive(Upstream upstream, String report) {
    HeaderMap headers = new HeaderMap();
    headers.put(ForwardTestServer.HEADERS.load(), report);
    reports.onHead(upstream, new HttpHead(200, headers, BodyFraming.NONE));
  }

  @Test
  public void unreadableReportIsLoggedOncePerUpstreamAndInterval() {
    try (RecordedLines recorded =
        new RecordedLines(
            InvalidInputLog.class.getName(),
            "load report of upstream cannot be read and is ignored")) {
      for (int i = 0; i < 10; i++) {
        receive(UPSTREAM, "busy");
        receive(TestUpstreams.upstream("u2", "s1", 1), "");
      }
      assertEquals(recorded.lines().size(), 2);
      assertEquals(recorded.lines().get(0).get("upstream"), "u1");
      clock.advanceMs(60_000);
      receive(UPSTREAM, "busy");
      assertEquals(recorded.lines().size(), 3);
    }
  }

  @Test
  public void onlyReadableWorkTimeEnablesItsRules() {
    receive(UPSTREAM, "1,0,16");
    receive(UPSTREAM, "1,0,16,soon");
    assertFalse(workTimes.anyReported());
    receive(UPSTREAM, "1,0,16,100");
    assertTrue(workTimes.isReported("s1"));
  }
}
