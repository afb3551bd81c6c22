package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against the end of a caller's connection that says something else than the response. */
public final class ConnectionEndTest extends ForwardServerFixture {

  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String CLOSE = "Connection: close\r\n";
  private static final String LONG_EVENT = "id: 1\ndata: " + "a".repeat(600_000) + "\n\n";
  private static final long TIMEOUT_MS = 10_000;
  private static final long POLL_MS = 10;

  /** Waits until all responses are written to their sockets. */
  private void awaitWritten() {
    for (int i = 0; i < TIMEOUT_MS / POLL_MS && server().inFlight() > 0; i++) {
      ForwardTestServer.sleep(POLL_MS);
    }
    assertEquals(server().inFlight(), 0, "responses that are not written");
  }

  private static String chunks(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n";
  }

  private String request(String version, String path) {
    return RawCaller.request(server().address(), version, path, "", TIMEOUT_MS);
  }

  @DataProvider
  public static Object[][] responsesThatEndWithConnection() {
    return new Object[][] {
      {"HTTP/1.1", "/stream/x", CLOSE, LONG_EVENT},
      {"HTTP/1.1", "/once/x", CLOSE, LONG_EVENT},
      {"HTTP/1.0", "/stream/x", CLOSE, LONG_EVENT},
      {"HTTP/1.0", "/once/x", CLOSE, LONG_EVENT},
      {"HTTP/1.0", "/stream/x", CHUNKED, chunks(LONG_EVENT)},
    };
  }

  /** Sends a request whose caller reads the rest once the whole response is written. */
  private void assertArrivesWhole(String request, String headers, String body) throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, received) -> RawUpstream.head(received, EVENTS + headers) + body)) {
      server().announce("u1", upstream.address());
      RawCaller.Response response =
          RawCaller.send(server().address(), request, socket -> awaitWritten());
      assertTrue(response.looksComplete(), "reset after " + response.text().length() + " bytes");
      assertEquals(response.body().length(), LONG_EVENT.length());
    }
  }

  @Test(dataProvider = "responsesThatEndWithConnection")
  public void wholeResponseIsNotResetBeforeSlowCallerHasReadIt(
      String version, String path, String headers, String body) throws Exception {
    assertArrivesWhole(request(version, path), headers, body);
  }

  @Test(dataProvider = "responsesThatEndWithConnection")
  public void wholeResponseIsNotResetByRequestThatFollowsIt(
      String version, String path, String headers, String body) throws Exception {
    String request = request(version, path);
    assertArrivesWhole(request + request, headers, body);
  }

  @DataProvider
  public static Object[][] statusesWithoutBody() {
    return new Object[][] {
      {"POST", "HTTP/1.0", "204 No Content"},
      {"POST", "HTTP/1.0", "304 Not Modified"},
      {"HEAD", "HTTP/1.0", "200 OK"},
      {"POST", "HTTP/1.1", "204 No Content"},
      {"POST", "HTTP/1.1", "304 Not Modified"},
      {"HEAD", "HTTP/1.1", "200 OK"},
    };
  }

  @Test(dataProvider = "statusesWithoutBody")
  public void responseWithoutBodyIsNotReset(String method, String version, String status)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (c, r, headers) -> RawUpstream.head(headers, CLOSE).replace("200 OK", status))) {
      server().announce("u1", upstream.address());
      for (String path : new String[] {"/stream/x", "/safe/x"}) {
        RawCaller.Response response =
            RawCaller.send(
                server().address(),
                RawCaller.request(server().address(), version, path, CLOSE, TIMEOUT_MS)
                    .replace("POST", method),
                socket -> awaitWritten());
        assertTrue(response.head().contains(" " + status.toLowerCase()), response.text());
        assertFalse(response.reset(), path);
        assertEquals(response.body(), "");
      }
    }
  }

  @DataProvider
  public static Object[][] streams() {
    return new Object[][] {
      {"HTTP/1.1", ""}, {"HTTP/1.0", ""}, {"HTTP/1.0", CHUNKED}, {"HTTP/1.1", CHUNKED},
    };
  }

  private RawUpstream startedStream(String headers) throws IOException {
    String event = headers.equals(CHUNKED) ? "f\r\n" + EVENT + "\r\n" : EVENT;
    return new RawUpstream((c, r, request) -> RawUpstream.head(request, EVENTS + headers) + event);
  }

  @Test(dataProvider = "streams")
  public void streamThatEndsAtDeadlineDoesNotLookComplete(String version, String headers)
      throws Exception {
    try (RawUpstream upstream = startedStream(headers)) {
      server().announce("u1", upstream.address());
      RawCaller.Response response =
          RawCaller.send(server().address(), version, "/stream/x", "", 500);
      assertTrue(response.body().contains(EVENT), response.text());
      assertFalse(response.looksComplete(), response.text());
    }
  }

  @Test(dataProvider = "streams")
  public void streamOfHalfClosedCallerDoesNotLookComplete(String version, String headers)
      throws Exception {
    try (RawUpstream upstream = startedStream(headers)) {
      server().announce("u1", upstream.address());
      RawCaller.Response response =
          RawCaller.send(server().address(), request(version, "/stream/x"), Socket::shutdownOutput);
      assertFalse(response.looksComplete(), response.text());
    }
  }
}
