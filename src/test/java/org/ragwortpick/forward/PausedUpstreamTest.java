package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests sent to an upstream in the retry time of its refusal. */
public final class PausedUpstreamTest extends ForwardServerFixture {

  private static final int REQUESTS = 20;
  private static final long LONGER_THAN_PAUSE_MS = 1_300;

  private static String refusal(Map<String, String> request, String headers) {
    return "HTTP/1.1 503 Busy\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\n"
        + headers
        + "Content-Length: 0\r\n\r\n";
  }

  @DataProvider
  public static Object[][] refusals() {
    return new Object[][] {
      {"safe", "Untouched: 1\r\nRetry-After: 1\r\n"},
      {"once", "Untouched: 1\r\nRetry-After: 1.0\r\n"},
      {"stream", "Untouched: 1\r\nRetry-After: 1\r\n"},
      {"safe", "Retry-After: 1\r\n"},
      {"safe", "Untouched: 1\r\nRetry-After: soon\r\nRetry-After: 1\r\nRetry-After: 0\r\n"},
    };
  }

  @Test(dataProvider = "refusals")
  public void onlyUpstreamGetsNoRequestInItsRetryTime(String route, String headers)
      throws Exception {
    AtomicBoolean refuses = new AtomicBoolean(true);
    try (RawUpstream upstream =
        new RawUpstream(
            (c, r, request) ->
                refuses.get()
                    ? refusal(request, headers)
                    : RawUpstream.response(request, "Content-Type: text/event-stream\r\n", ""))) {
      server().announce("u1", upstream.address());
      server().post("/" + route + "/x", "first");
      int before = upstream.workRequests();
      for (int i = 0; i < REQUESTS; i++) {
        HttpResponse<String> refused = server().post("/" + route + "/x", "r" + i);
        assertEquals(refused.statusCode(), 503);
        double seconds =
            Double.parseDouble(refused.headers().firstValue("Retry-After").orElse("0"));
        assertTrue(seconds > 0.3 && seconds <= 1.25, "retry time " + seconds);
      }
      assertEquals(upstream.workRequests(), before);
      refuses.set(false);
      pause(LONGER_THAN_PAUSE_MS);
      assertEquals(server().post("/" + route + "/x", "last").statusCode(), 200);
    }
  }

  @Test
  public void otherUpstreamServesDuringPause() throws Exception {
    try (RawUpstream paused =
            new RawUpstream(
                (c, r, request) -> refusal(request, "Untouched: 1\r\nRetry-After: 30\r\n"));
        RawUpstream free =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"))) {
      server().announce("paused", paused.address());
      server().post("/once/x", "first");
      server().announce("free", free.address());
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(server().post("/once/x", "r" + i).body(), "done");
      }
      assertEquals(paused.workRequests(), 1);
    }
  }

  @DataProvider
  public static Object[][] pausesAndStages() {
    return new Object[][] {{"5", 0}, {"0.06", 1}};
  }

  /** Guards against stage work for a request that will be refused when its stages are done. */
  @Test(dataProvider = "pausesAndStages")
  public void stagesAreNotBegunIfPauseOutlastsThem(String retryAfter, int submittedStages)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (c, r, request) ->
                refusal(request, "Untouched: 1\r\nRetry-After: " + retryAfter + "\r\n"))) {
      server().announce("u1", upstream.address());
      server().post("/once/x", "first");
      server().send(server().request("/staged/x", "second").header("Parts", "1").build());
      assertEquals(server().submittedStages(), submittedStages);
    }
  }

  @DataProvider
  public static Object[][] valuesWithoutMeaning() {
    return new Object[][] {
      {""},
      {"0"},
      {"-5"},
      {"NaN"},
      {"Infinity"},
      {"0x1p9"},
      {"1e9"},
      {"1,5"},
      {"9".repeat(400)},
      {"soon"},
      {"Sat, 05 Dec 2026 11:00:00 GMT"},
      {"5 5"},
      {"5d"},
    };
  }

  /** A value that is no number of seconds must exclude nothing, and must not break the request. */
  @Test(dataProvider = "valuesWithoutMeaning")
  public void meaninglessRetryTimeExcludesNoUpstream(String value) throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (c, r, request) ->
                request.get("request-id").equals("first")
                    ? refusal(request, "Untouched: 1\r\nRetry-After: " + value + "\r\n")
                    : RawUpstream.response(request, "", "done"))) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/once/x", "first").statusCode(), 503);
      assertEquals(server().post("/once/x", "second").body(), "done");
    }
  }
}
