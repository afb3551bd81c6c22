package org.ragwortpick.forward;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests with one prompt part that end one upstream after the other. */
public final class CrashingPartTest extends ForwardServerFixture {

  private static final String HARMFUL = "bad0";
  private static final int MAX_CRASHES = 5 + 3;
  private static final int UPSTREAMS = 3;
  private static final int REQUESTS = 14;
  private static final long PAUSE_MS = 600;

  private static boolean isHarmful(Map<String, String> request) {
    return request.get("prefixes").contains(HARMFUL + ":");
  }

  private HttpResponse<String> send(String path, String id, String parts) throws Exception {
    HttpRequest request =
        server().request(path, id).header("Prefixes", parts + "," + id + ":7").build();
    return server().send(request);
  }

  private int statusOf(String path, String id, String parts) throws Exception {
    try {
      return send(path, id, parts).statusCode();
    } catch (IOException brokenOff) {
      return 0;
    }
  }

  @DataProvider
  public static Object[][] positions() {
    return new Object[][] {
      {"/stream/x", "aa:10,bad0:5"}, {"/stream/x", "bad0:5,aa:10"}, {"/safe/x", "aa:10,bad0:5"},
    };
  }

  @Test(dataProvider = "positions")
  public void requestsWithHarmfulPartStopReachingUpstreams(String path, String parts)
      throws Exception {
    try (EndingUpstreams upstreams =
        new EndingUpstreams(server(), CrashingPartTest::isHarmful, true)) {
      upstreams.start(UPSTREAMS);
      for (int i = 0; i < REQUESTS; i++) {
        statusOf(path, "h" + i, parts);
        for (int j = 0; j < 2; j++) {
          String sound = "s" + i + "-" + j;
          assertTrue(statusOf("/stream/x", sound, "aa:10,cc:5") == 200, sound);
        }
        pause(PAUSE_MS);
      }
      assertTrue(upstreams.ends() <= MAX_CRASHES, upstreams.ends() + " upstreams ended");
    }
  }
}
