package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.Test;

/**
 * Guards against responses of other requests, incomplete responses that look complete, refusals
 * that wrongly state that a request has not run, and forwarded reserved headers.
 */
public final class ForwardFaultsTest extends ForwardServerFixture {

  private static final int MANY_HEADERS = 500;
  private static final HostPort UNREACHABLE = new HostPort("127.0.0.1", 1);

  private static String notExecutedResponse(Map<String, String> request) {
    return "HTTP/1.1 503 Busy\r\nUntouched: 1\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  @Test
  public void forwardsRequestWithoutReservedHeaders() throws Exception {
    AtomicReference<Map<String, String>> seen = new AtomicReference<>();
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) -> {
              seen.set(headers);
              return RawUpstream.response(headers, "Mark: m1\r\n", "answer");
            })) {
      server().announce("u1", upstream.address());
      HttpResponse<String> response =
          server()
              .send(
                  server()
                      .request("/safe/a%20b?x=1&y=%2F", "r1")
                      .header("Workspace", "forged")
                      .header("Internal", "forged")
                      .header("Other", "kept")
                      .POST(HttpRequest.BodyPublishers.ofString("body"))
                      .build());
      assertEquals(response.statusCode(), 200);
      assertEquals(response.body(), "answer");
      assertEquals(response.headers().firstValue("Mark"), Optional.of("m1"));
      assertEquals(seen.get().get("path"), "/safe/a%20b?x=1&y=%2F");
      assertEquals(seen.get().get("workspace"), "w1");
      assertEquals(seen.get().get("expected-upstream"), "u1");
      assertEquals(seen.get().get("other"), "kept");
      assertEquals(seen.get().get("body"), "body");
      assertFalse(seen.get().containsKey("access-code"));
      assertFalse(seen.get().containsKey("internal"));
      long timeLeftMs = Long.parseLong(seen.get().get("time-left-ms"));
      assertTrue(timeLeftMs <= ForwardTestServer.REQUEST_TIMEOUT_MS);
    }
  }

  /** On a paused clock, because a server whose process stood still refuses for now only. */
  @Test
  public void refusalStatusNamesCause() throws Exception {
    try (ForwardTestServer paused =
        new ForwardTestServer(ResponseMemory.ofHeap(), new ManualClock())) {
      assertEquals(paused.post("/absent/x", "r1").statusCode(), 404);
      HttpRequest wrongKey =
          HttpRequest.newBuilder(paused.request("/safe/x", "r2").build().uri())
              .header("Request-Id", "r2")
              .header("Access-Code", "unknown")
              .build();
      assertEquals(paused.send(wrongKey).statusCode(), 401);
      HttpResponse<String> noUpstream = paused.post("/safe/x", "r3");
      assertEquals(noUpstream.statusCode(), 503);
      assertTrue(noUpstream.headers().firstValue("Retry-After").isPresent());
      paused.removeConfiguration();
      assertEquals(paused.post("/absent/x", "r4").statusCode(), 503);
    }
  }

  @Test
  public void requestThatWasNotRunIsRepeatedElsewhere() throws Exception {
    try (RawUpstream busy = new RawUpstream((c, r, headers) -> notExecutedResponse(headers));
        RawUpstream free =
            new RawUpstream((c, r, headers) -> RawUpstream.response(headers, "", "done"))) {
      server().announce("busy", busy.address());
      server().announce("free", free.address());
      server().announce("gone", UNREACHABLE);
      for (int i = 0; i < 5; i++) {
        assertEquals(server().post("/once/x", "r" + i).body(), "done");
      }
    }
  }

  @Test
  public void lostResponseIsNotReportedAsNotRun() throws Exception {
    try (RawUpstream upstream = new RawUpstream((c, r, headers) -> "no answer")) {
      server().announce("u1", upstream.address());
      server().announce("u2", upstream.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 502);
      assertEquals(upstream.workRequests(), 1);
      assertEquals(server().post("/safe/x", "r2").statusCode(), 502);
      assertEquals(upstream.workRequests(), 3);
    }
  }

  /** Guards against a refusal by the second upstream that hides a run at the first one. */
  @Test
  public void requestThatMayHaveRunIsNotReportedAsNotRun() throws Exception {
    try (RawUpstream failing =
            new RawUpstream(
                (c, r, headers) ->
                    "HTTP/1.1 500 Failed\r\nRequest-Id: "
                        + headers.get("request-id")
                        + "\r\nContent-Length: 0\r\n\r\n");
        RawUpstream busy = new RawUpstream((c, r, headers) -> notExecutedResponse(headers))) {
      server().announce("failing", failing.address());
      server().announce("busy", busy.address());
      for (int i = 0; i < 12; i++) {
        int before = failing.workRequests();
        int status = server().post("/safe/x", "r" + i).statusCode();
        boolean ran = failing.workRequests() > before;
        assertTrue(!ran || status != 503, "status 503 after a run");
      }
      assertTrue(failing.workRequests() > 0, "the failing upstream got no request");
    }
  }

  @Test
  public void unresponsiveUpstreamCausesTimeout() throws Exception {
    try (RawUpstream upstream = new RawUpstream((c, r, headers) -> "")) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 504);
    }
  }

  @Test
  public void responseOfAnotherRequestIsDiscarded() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) -> {
              // The second response meets the next request on the same connection.
              String answer = RawUpstream.response(headers, "", headers.get("request-id"));
              return answer + answer;
            })) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < 6; i++) {
        HttpResponse<String> response = server().post("/once/x", "r" + i);
        assertTrue(
            response.statusCode() == 502 || response.body().equals("r" + i), response.body());
      }
    }
  }

  @Test
  public void incompleteResponseDoesNotLookComplete() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                RawUpstream.head(
                        headers, "Content-Type: text/event-stream\r\nContent-Length: 500\r\n")
                    + "Connection: close"
                    + "id: 1\n\n")) {
      server().announce("u1", upstream.address());
      assertThrows(IOException.class, () -> server().post("/stream/x", "r1"));
      assertEquals(server().post("/once/x", "r2").statusCode(), 502);
    }
  }

  @Test
  public void upstreamErrorIsPassedOnIfItMayNotBeRepeated() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                "HTTP/1.1 500 Failed\r\nMark: m\r\nRequest-Id: "
                    + headers.get("request-id")
                    + "\r\nContent-Length: 3\r\n\r\nbad")) {
      server().announce("u1", upstream.address());
      server().announce("u2", upstream.address());
      HttpResponse<String> once = server().post("/once/x", "r1");
      assertEquals(once.statusCode(), 500);
      assertEquals(once.headers().firstValue("Mark"), Optional.of("m"));
      assertEquals(upstream.workRequests(), 1);
      assertEquals(server().post("/safe/x", "r2").statusCode(), 500);
      assertEquals(upstream.workRequests(), 3);
    }
  }

  /** Guards against a late second copy of an earlier response that is taken for the next one. */
  @Test
  public void connectionOfResponseWithoutIdIsNotUsedAgain() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, r, headers) ->
                connection == 1
                    ? "HTTP/1.1 404 Absent\r\nContent-Length: 0\r\n\r\n"
                    : RawUpstream.response(headers, "", "own"))) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 404);
      assertEquals(server().post("/once/x", "r2").body(), "own");
    }
  }

  /** Guards against an error of this system in place of the upstream's own response. */
  @Test
  public void failureOfUpstreamIsPassedOnIfNoOtherServes() throws Exception {
    try (RawUpstream failing =
            new RawUpstream(
                (c, r, headers) ->
                    "HTTP/1.1 500 Failed\r\nRequest-Id: "
                        + headers.get("request-id")
                        + "\r\nContent-Length: 5\r\n\r\nfault");
        RawUpstream busy = new RawUpstream((c, r, headers) -> notExecutedResponse(headers))) {
      server().announce("failing", failing.address());
      HttpResponse<String> alone = server().post("/safe/x", "alone");
      assertEquals(alone.statusCode() + alone.body(), "500fault");
      server().announce("busy", busy.address());
      for (int i = 0; i < 12; i++) {
        int before = failing.workRequests();
        HttpResponse<String> response = server().post("/safe/x", "r" + i);
        if (failing.workRequests() > before) {
          assertEquals(response.statusCode() + response.body(), "500fault");
        }
      }
    }
  }

  /** Guards against a limit of the number of headers below the limit of their bytes. */
  @Test
  public void requestWithManyShortHeadersIsServed() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"))) {
      server().announce("u1", upstream.address());
      StringBuilder headers = new StringBuilder();
      for (int i = 0; i < MANY_HEADERS; i++) {
        headers.append("X").append(i).append(": 1\r\n");
      }
      RawCaller.Response response =
          RawCaller.send(server().address(), "HTTP/1.1", "/safe/x", headers.toString());
      assertTrue(response.text().startsWith("HTTP/1.1 200"), response.text());
    }
  }
}
