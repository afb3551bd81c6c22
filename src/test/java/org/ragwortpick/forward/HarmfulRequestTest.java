package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a request that ends one upstream after the other under another id each time. */
public final class HarmfulRequestTest extends ForwardServerFixture {

  private static final String HARMFUL = "harmful";
  private static final int UPSTREAMS = 3;
  private static final int REQUESTS = 14;
  private static final long PAUSE_MS = 400;

  /** Ends after which a request reaches upstreams at most three times more. */
  private static final int ENDS = 3;

  private static final int TOLERATED = 3;

  /** Time in which all VMs know of the third end. */
  private static final long CONTACT_MS = 3_000;

  @DataProvider
  public static Object[][] cases() {
    return new Object[][] {
      {"/safe/x", false},
      {"/safe/x", true},
      {"/once/x", false},
      {"/once/x", true},
      {"/stream/x", false},
      {"/stream/x", true},
    };
  }

  private int statusOf(String path, String id, String body) throws Exception {
    HttpRequest request =
        server().request(path, id).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    try {
      HttpResponse<String> response = server().send(request);
      return response.statusCode();
    } catch (IOException brokenOff) {
      return 0;
    }
  }

  @Test(dataProvider = "cases")
  public void requestThatEndedThreeUpstreamsReachesFewMore(String path, boolean afterHead)
      throws Exception {
    List<Integer> statuses = new ArrayList<>();
    try (EndingUpstreams upstreams =
        new EndingUpstreams(server(), request -> request.get("body").equals(HARMFUL), afterHead)) {
      upstreams.start(UPSTREAMS);
      for (int i = 0; i < REQUESTS; i++) {
        statuses.add(statusOf(path, "h" + i, HARMFUL));
        assertEquals(statusOf(path, "s" + i, "sound"), 200, "sound request " + i);
        pause(PAUSE_MS);
      }
      long late = upstreams.endsLaterThan(CONTACT_MS, ENDS);
      assertTrue(
          late <= TOLERATED,
          late + " upstreams ended late, " + upstreams.ends() + " in all; answers " + statuses);
      assertEquals(statuses.get(REQUESTS - 1).intValue(), 503, "the last answer");
    }
  }
}
