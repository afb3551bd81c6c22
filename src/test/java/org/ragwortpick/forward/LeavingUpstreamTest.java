package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.Map;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests sent to an upstream whose responses state that it is leaving. */
public final class LeavingUpstreamTest extends ForwardServerFixture {

  private static final String LEAVING = "Going-Away: 1\r\n";
  private static final String STREAM = "Content-Type: text/event-stream\r\n";
  private static final int REQUESTS = 20;
  private static final long LONGER_THAN_LAST_RESORT_MS = 1_300;

  private static String withStatus(String statusLine, Map<String, String> request, String headers) {
    return "HTTP/1.1 "
        + statusLine
        + "\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\n"
        + headers
        + "Content-Length: 0\r\n\r\n";
  }

  @DataProvider
  public static Object[][] responsesOfLeavingUpstream() {
    return new Object[][] {
      {"safe", "200 OK", LEAVING},
      {"once", "200 OK", LEAVING + "Connection: close\r\n"},
      {"stream", "200 OK", LEAVING + STREAM},
      {"safe", "503 Busy", LEAVING + "Untouched: 1\r\n"},
      {"safe", "500 Failed", LEAVING},
      {"once", "404 Absent", LEAVING},
    };
  }

  @Test(dataProvider = "responsesOfLeavingUpstream")
  public void upstreamThatStatesItIsLeavingGetsNoRequest(String route, String status, String extra)
      throws Exception {
    try (RawUpstream leaving =
            new RawUpstream((c, r, request) -> withStatus(status, request, extra));
        RawUpstream staying =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, STREAM, ""))) {
      server().announce("leaving", leaving.address());
      server().post("/" + route + "/x", "first");
      assertTrue(leaving.workRequests() > 0);
      server().announce("staying", staying.address());
      int before = leaving.workRequests();
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(server().post("/" + route + "/x", "r" + i).statusCode(), 200);
      }
      assertEquals(leaving.workRequests(), before);
      assertEquals(staying.workRequests(), REQUESTS);
    }
  }

  /** Responses other than the upstream's own statement must not exclude it. */
  @Test
  public void foreignOrNegativeStatementExcludesNoUpstream() throws Exception {
    Map<String, String> foreign = Map.of("request-id", "other");
    try (RawUpstream upstream =
        new RawUpstream(
            (c, r, request) ->
                switch (request.get("request-id")) {
                  case "r0" -> withStatus("200 OK", foreign, LEAVING);
                  case "r1" -> withStatus("421 Misdirected", request, LEAVING);
                  case "r2" -> withStatus("200 OK", request, "Going-Away: 0\r\n");
                  default -> RawUpstream.response(request, "", "whole");
                })) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < 3; i++) {
        server().post("/safe/x", "r" + i);
      }
      pause(LONGER_THAN_LAST_RESORT_MS);
      assertEquals(server().post("/safe/x", "last").body(), "whole");
    }
  }

  @Test
  public void requestsAreRefusedAtOnceWhenAllUpstreamsLeave() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> RawUpstream.response(request, LEAVING, "whole"))) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/once/x", "first").statusCode(), 200);
      assertEquals(server().post("/once/x", "second").statusCode(), 200, "it still serves");
      pause(LONGER_THAN_LAST_RESORT_MS);
      int before = upstream.workRequests();
      HttpResponse<String> refused = server().post("/once/x", "third");
      assertEquals(refused.statusCode(), 503);
      assertTrue(refused.headers().firstValue("Retry-After").isPresent());
      assertEquals(upstream.workRequests(), before);
      server().upstreams().announceAgain("u1", 2, upstream.address());
      assertEquals(server().post("/once/x", "fourth").statusCode(), 200, "a later start is new");
    }
  }
}
