package org.ragwortpick.forward;

import static org.testng.Assert.assertTrue;

import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests to an overloaded upstream whose report has more than three figures. */
public final class ReportedLoadTest extends ForwardServerFixture {

  private static final int REQUESTS = 100;

  @DataProvider
  public static Object[][] busyReports() {
    return new Object[][] {{"64,90,64"}, {"64,90,64,100"}, {"64,90,64,soon"}, {"64,90,64,100,7"}};
  }

  private static RawUpstream upstream(String report) throws Exception {
    return new RawUpstream(
        (c, r, request) -> RawUpstream.response(request, "Work-Load: " + report + "\r\n", "done"));
  }

  @Test(dataProvider = "busyReports")
  public void overloadedUpstreamGetsFewRequests(String report) throws Exception {
    try (RawUpstream busy = upstream(report);
        RawUpstream idle = upstream("0,0,64,100")) {
      server().announce("busy", busy.address());
      server().announce("idle", idle.address());
      for (int i = 0; i < REQUESTS; i++) {
        server().post("/safe/x", "r" + i);
      }
      assertTrue(busy.workRequests() <= REQUESTS / 10, busy.workRequests() + " requests");
    }
  }
}
