package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests beyond the rate that an upstream names, whatever its response is. */
public final class LimitedUpstreamTest extends ForwardServerFixture {

  private static final int REQUESTS = 20;
  private static final String LIMIT = "Takes-Per-Second: 0.5\r\n";

  private static String response(String status, Map<String, String> request, String headers) {
    return "HTTP/1.1 "
        + status
        + "\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\n"
        + headers
        + "Content-Length: 0\r\n\r\n";
  }

  @DataProvider
  public static Object[][] responses() {
    return new Object[][] {
      {"safe", "200 OK", LIMIT},
      {"once", "200 OK", LIMIT},
      {"stream", "200 OK", LIMIT + "Content-Type: text/event-stream\r\n"},
      {"once", "500 Broken", LIMIT},
      {"once", "503 Busy", LIMIT + "Untouched: 1\r\n"},
      {"once", "200 OK", "Takes-Per-Second: 70\r\n" + LIMIT},
      {"once", "200 OK", "Takes-Per-Second: 0\r\n"},
    };
  }

  @Test(dataProvider = "responses")
  public void onlyUpstreamGetsNoMoreThanItTakes(String route, String status, String headers)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> response(status, request, headers))) {
      server().announce("u1", upstream.address());
      server().post("/" + route + "/x", "first");
      int before = upstream.workRequests();
      int refused = 0;
      for (int i = 0; i < REQUESTS; i++) {
        HttpResponse<String> response = server().post("/" + route + "/x", "r" + i);
        if (response.statusCode() == 503 && upstream.workRequests() - before <= 1) {
          refused++;
          double seconds =
              Double.parseDouble(response.headers().firstValue("Retry-After").orElse("0"));
          assertTrue(seconds > 0.3 && seconds <= 2, "retry time " + seconds);
        }
      }
      assertTrue(upstream.workRequests() - before <= 1, upstream.workRequests() + " requests");
      assertTrue(refused >= REQUESTS - 1, refused + " refused");
    }
  }

  @Test
  public void otherUpstreamServesWhatTheLimitedOneDoesNotTake() throws Exception {
    try (RawUpstream limited =
            new RawUpstream((c, r, request) -> response("200 OK", request, LIMIT));
        RawUpstream free =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"))) {
      server().announce("limited", limited.address());
      server().post("/once/x", "first");
      server().announce("free", free.address());
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(server().post("/once/x", "r" + i).statusCode(), 200);
      }
      assertTrue(limited.workRequests() <= 2, limited.workRequests() + " requests");
    }
  }

  @DataProvider
  public static Object[][] valuesWithoutMeaning() {
    return new Object[][] {{""}, {"-5"}, {"NaN"}, {"Infinity"}, {"1e1"}, {"0x1p1"}, {"1,5"}, {"x"}};
  }

  @Test(dataProvider = "valuesWithoutMeaning")
  public void valueWithoutMeaningNeitherNamesNorEndsALimit(String value) throws Exception {
    AtomicReference<String> headers = new AtomicReference<>("Takes-Per-Second: " + value + "\r\n");
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> response("200 OK", request, headers.get()))) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(server().post("/once/x", "r" + i).statusCode(), 200);
      }
    }
  }

  @Test
  public void responseOfAnotherUpstreamDoesNotLimitTheExpectedOne() throws Exception {
    AtomicReference<String> status = new AtomicReference<>("421 Misdirected");
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> response(status.get(), request, LIMIT))) {
      server().announce("u1", upstream.address());
      server().post("/once/x", "first");
      status.set("204 No Content");
      assertEquals(server().post("/once/x", "second").statusCode(), 204);
    }
  }

  /** The last permit is not available when the stages are done, so they must not begin. */
  @Test
  public void stagesAreNotBegunForAnUpstreamOfWhichThisVmHasNoPart() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> response("200 OK", request, LIMIT))) {
      server().announce("u1", upstream.address());
      server().post("/once/x", "first");
      server().setSenderRank(1);
      server().send(server().request("/staged/x", "second").header("Parts", "1").build());
      assertEquals(server().submittedStages(), 0);
    }
  }
}
