package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests sent to an upstream that leaves part of its requests unanswered. */
public final class SilentUpstreamTest extends ForwardServerFixture {

  private static final String LOAD = "Work-Load: 20,0,64\r\n";
  private static final int OVERTAKING = 3;
  private static final int REQUESTS = 10;
  private static final long SILENT_FOR_MS = 600;
  private static final long LONGER_THAN_TIMEOUT_MS = 1_200;

  @DataProvider
  public static Object[][] waitsMs() {
    return new Object[][] {{SILENT_FOR_MS}, {LONGER_THAN_TIMEOUT_MS}};
  }

  @Test(dataProvider = "waitsMs")
  public void upstreamThatLeavesRequestsUnansweredIsAvoided(long waitMs) throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    try (RawUpstream silent =
            new RawUpstream(
                (c, r, request) -> {
                  if (!request.get("request-id").equals("unanswered")) {
                    return RawUpstream.response(request, "", "answer");
                  }
                  arrived.countDown();
                  return "";
                });
        RawUpstream sound =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, LOAD, "answer"))) {
      server().announceLarge("silent", silent.address());
      CompletableFuture<HttpResponse<String>> unanswered =
          server()
              .sendAsync(
                  server()
                      .request("/once/x", "unanswered")
                      .setHeader("Time-Left-Ms", "900")
                      .build());
      assertTrue(arrived.await(1, TimeUnit.SECONDS));
      for (int i = 0; i < OVERTAKING; i++) {
        assertEquals(server().post("/once/x", "o" + i).body(), "answer");
      }
      pause(waitMs);
      server().announceLarge("sound", sound.address());
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(server().post("/once/x", "r" + i).body(), "answer");
      }
      assertEquals(sound.workRequests(), REQUESTS);
      assertEquals(unanswered.get().statusCode(), 504);
    }
  }
}
