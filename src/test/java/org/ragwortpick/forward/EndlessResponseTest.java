package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.locks.LockSupport;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.EndlessUpstream;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against responses without an end that fill the memory or hold a request. */
public final class EndlessResponseTest extends ForwardServerFixture {

  private static final long BYTE_PAUSE_NANOS = 50_000_000L;
  private static final long SLOW_START_NANOS = 550_000_000L;
  private static final long DEADLINE_MS = 700;

  private final MonotonicClock clock = new MonotonicClock();

  @DataProvider
  public static Object[][] endlessHeads() {
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nMark: ", "a"},
      {"HTTP/1.1 200 OK\r\n", "Mark: a\r\n"},
      {"HTTP/1.1 200 ", "a"},
      {"HTTP/1.1 200 OK\r\n", "a"},
    };
  }

  @Test(dataProvider = "endlessHeads", timeOut = 20_000)
  public void endlessHeadIsLostAndNotATimeout(String beginning, String repeated) throws Exception {
    try (EndlessUpstream upstream = new EndlessUpstream(beginning, repeated, 0)) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 502);
    }
  }

  @Test(timeOut = 20_000)
  public void repeatableRequestGoesElsewhereAfterEndlessHead() throws Exception {
    try (EndlessUpstream endless = new EndlessUpstream("HTTP/1.1 200 OK\r\nMark: ", "a", 0);
        RawUpstream sound =
            new RawUpstream((c, r, headers) -> RawUpstream.response(headers, "", "done"))) {
      server().announce("endless", endless.address());
      server().announce("sound", sound.address());
      for (int i = 0; i < 6; i++) {
        assertEquals(server().post("/safe/x", "r" + i).body(), "done");
      }
    }
  }

  @Test(timeOut = 20_000)
  public void endlessRefusalIsReportedAsNotRun() throws Exception {
    String head = "HTTP/1.1 503 Busy\r\nUntouched: 1\r\nRequest-Id: {id}\r\n";
    try (EndlessUpstream upstream =
        new EndlessUpstream(head + "Content-Length: 99999999999\r\n\r\n", "a", 0)) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 503);
    }
  }

  @DataProvider
  public static Object[][] stalledStreams() {
    String head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n";
    String stream = head + "Content-Type: text/event-stream\r\n";
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nMark: ", "a"},
      {stream + "\r\n", ":"},
      {stream + "Content-Length: 99999\r\n\r\nid: 1\ndata: a\n\n", ":\n"},
      {stream + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n:\r\n"},
    };
  }

  /** Guards against a stream that never ends because a byte arrives now and then. */
  @Test(dataProvider = "stalledStreams", timeOut = 20_000)
  public void stalledStreamEndsAtDeadline(String beginning, String repeated) throws Exception {
    try (EndlessUpstream upstream = new EndlessUpstream(beginning, repeated, BYTE_PAUSE_NANOS)) {
      server().announce("u1", upstream.address());
      long startedAtMs = clock.millis();
      RawCaller.Response response =
          RawCaller.send(server().address(), "HTTP/1.1", "/stream/x", "", DEADLINE_MS);
      long tookMs = clock.millis() - startedAtMs;
      assertTrue(tookMs >= DEADLINE_MS && tookMs < 2 * DEADLINE_MS, "ended after " + tookMs);
      assertTrue(!response.head().contains(" 200 ") || !response.framedAsComplete());
    }
  }

  @Test
  public void streamThatBeginsShortlyBeforeTheDeadlineIsNotCut() throws Exception {
    try (RawUpstream slow =
        new RawUpstream(
            (c, r, headers) -> {
              LockSupport.parkNanos(SLOW_START_NANOS);
              return RawUpstream.response(
                  headers, "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n");
            })) {
      server().announce("u1", slow.address());
      assertEquals(server().post("/stream/x", "r1").body(), "id: 1\ndata: a\n\n");
    }
  }
}
