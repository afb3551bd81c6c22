package org.ragwortpick.forward;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.entry.http.EndlessUpstream;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a response that was cut off and reaches its caller as complete. */
public final class UnframedResponseTest extends ForwardServerFixture {

  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String CUT_EVENT = "id: 2\nda";
  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String CLOSE = "Connection: close\r\n";

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private RawCaller.Response respond(String path, String headers, String body, String connection)
      throws IOException {
    return respond("HTTP/1.1", path, headers, body, connection);
  }

  private RawCaller.Response respond(
      String version, String path, String headers, String body, String connection)
      throws IOException {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> RawUpstream.head(request, headers + CLOSE) + body)) {
      server().announce("u1", upstream.address());
      return RawCaller.send(server().address(), version, path, connection);
    }
  }

  @DataProvider
  public static Object[][] callerConnections() {
    return new Object[][] {{"HTTP/1.1", ""}, {"HTTP/1.1", CLOSE}, {"HTTP/1.0", ""}};
  }

  @Test(dataProvider = "callerConnections")
  public void unframedStreamThatEndsInsideEventDoesNotLookComplete(
      String version, String connection) throws Exception {
    RawCaller.Response response =
        respond(version, "/stream/x", EVENTS, EVENT + CUT_EVENT, connection);
    assertFalse(response.framedAsComplete(), response.text());
    assertTrue(response.reset(), "the connection ended without a reset");
  }

  @Test
  public void unframedStreamThatEndsBetweenEventsIsNotFramedAsComplete() throws Exception {
    RawCaller.Response response = respond("/stream/x", EVENTS, EVENT, "");
    assertFalse(response.framedAsComplete(), response.text());
    assertTrue(response.endsWithConnection(), response.text());
    assertEquals(response.body(), EVENT);
    assertFalse(response.reset());
  }

  @Test
  public void framedStreamThatEndsInsideEventDoesNotLookComplete() throws Exception {
    String body = EVENT + CUT_EVENT;
    String chunks = chunk(body) + LAST_CHUNK;
    RawCaller.Response chunked =
        respond("/stream/x", EVENTS + "Transfer-Encoding: chunked\r\n", chunks, "");
    assertFalse(chunked.framedAsComplete(), chunked.text());
    assertEquals(chunked.body(), body);
  }

  @Test
  public void eventStreamOfRepeatableRouteThatEndsInsideEventIsLost() throws Exception {
    assertTrue(respond("/once/x", EVENTS, EVENT + CUT_EVENT, "").head().startsWith("http/1.1 502"));
  }

  @Test(dataProvider = "callerConnections")
  public void streamWithStatedLengthThatBreaksOffDoesNotLookComplete(
      String version, String connection) throws Exception {
    RawCaller.Response response =
        respond(version, "/stream/x", EVENTS + "Content-Length: 500\r\n", EVENT, connection);
    assertFalse(response.framedAsComplete(), response.text());
    assertFalse(response.endsWithConnection() && !response.reset(), response.text());
  }

  @Test(dataProvider = "callerConnections")
  public void chunkedStreamThatBreaksOffDoesNotLookComplete(String version, String connection)
      throws Exception {
    RawCaller.Response response =
        respond(
            version,
            "/stream/x",
            EVENTS + "Transfer-Encoding: chunked\r\n",
            chunk(EVENT),
            connection);
    assertFalse(response.framedAsComplete(), response.text());
    assertFalse(response.endsWithConnection() && !response.reset(), response.text());
  }

  @Test
  public void unframedResponseIsNotGivenLength() throws Exception {
    RawCaller.Response response = respond("/once/x", "", "answer", "");
    assertTrue(response.head().startsWith("http/1.1 200"), response.text());
    assertTrue(response.endsWithConnection(), response.text());
    assertEquals(response.body(), "answer");
  }

  @Test
  public void framedStreamStaysFramedOnConnectionThatIsNotKept() throws Exception {
    String chunks = chunk(EVENT) + LAST_CHUNK;
    RawCaller.Response response =
        respond("/stream/x", EVENTS + "Transfer-Encoding: chunked\r\n", chunks, CLOSE);
    assertTrue(response.framedAsComplete(), response.text());
    assertEquals(response.body(), EVENT);
  }

  /** Framing of the response of an upstream. */
  private enum Framing {
    LENGTH("HTTP/1.1"),
    CHUNKS("HTTP/1.1"),
    NEITHER("HTTP/1.1"),
    HTTP_1_0("HTTP/1.0");

    private final String version;

    Framing(String version) {
      this.version = version;
    }

    private boolean endsWithConnection() {
      return this == NEITHER || this == HTTP_1_0;
    }

    /** Returns a response whose body ends early if its sent part is not the whole body. */
    private String response(Map<String, String> request, String headers, String sent, String rest) {
      String length = "Content-Length: " + (sent.length() + rest.length()) + "\r\n";
      String extra =
          switch (this) {
            case LENGTH -> length;
            case CHUNKS -> "Transfer-Encoding: chunked\r\n";
            default -> "";
          };
      String head = RawUpstream.head(request, headers + extra).replace("HTTP/1.1", version);
      if (this != CHUNKS) {
        return head + sent;
      }
      return head + (sent.isEmpty() ? "" : chunk(sent)) + (rest.isEmpty() ? LAST_CHUNK : "");
    }
  }

  /** What the caller of a response sees. */
  private enum Seen {
    COMPLETE,
    ENDED_WITH_CONNECTION,
    BROKEN,
    BAD_GATEWAY;

    private static Seen of(RawCaller.Response response) {
      if (response.head().startsWith("http/1.1 502")) {
        return BAD_GATEWAY;
      }
      if (response.framedAsComplete()) {
        return COMPLETE;
      }
      return response.endsWithConnection() && !response.reset() ? ENDED_WITH_CONNECTION : BROKEN;
    }
  }

  /** End of the response of an upstream. */
  private enum Ending {
    WHOLE,
    CLOSED_INSIDE_EVENT,
    CLOSED_BETWEEN_EVENTS,
    RESET,
    CLOSED_AFTER_HEAD,
    CLOSED_INSIDE_HEAD;

    private String response(Framing framing, Map<String, String> request) {
      String headers = EVENTS + (this == RESET ? RawUpstream.RESET : CLOSE);
      return switch (this) {
        case WHOLE -> framing.response(request, headers, EVENT + EVENT, "");
        case CLOSED_INSIDE_EVENT -> framing.response(request, headers, EVENT + CUT_EVENT, EVENT);
        case CLOSED_BETWEEN_EVENTS, RESET -> framing.response(request, headers, EVENT, EVENT);
        case CLOSED_AFTER_HEAD -> framing.response(request, headers, "", EVENT);
        case CLOSED_INSIDE_HEAD ->
            framing.response(request, headers, "", EVENT).replace("\r\n\r\n", "\r\n");
      };
    }

    /** Of a body that ends with its connection, an end between events cannot be told from whole. */
    private Seen seen(Framing framing, boolean streaming) {
      Seen broken = streaming ? Seen.BROKEN : Seen.BAD_GATEWAY;
      Seen unknown = framing.endsWithConnection() ? Seen.ENDED_WITH_CONNECTION : broken;
      return switch (this) {
        case WHOLE -> framing.endsWithConnection() ? Seen.ENDED_WITH_CONNECTION : Seen.COMPLETE;
        case CLOSED_BETWEEN_EVENTS -> unknown;
        case CLOSED_INSIDE_EVENT, RESET, CLOSED_AFTER_HEAD -> broken;
        case CLOSED_INSIDE_HEAD -> Seen.BAD_GATEWAY;
      };
    }
  }

  @DataProvider
  public static Iterator<Object[]> framingsAndEndings() {
    List<Object[]> cases = new ArrayList<>();
    for (String path : List.of("/stream/x", "/once/x", "/safe/x")) {
      for (Framing framing : Framing.values()) {
        for (Ending ending : Ending.values()) {
          cases.add(new Object[] {path, framing, ending});
        }
      }
    }
    return cases.iterator();
  }

  @Test(dataProvider = "framingsAndEndings")
  public void callerSeesBreakWhateverFramingAndEnding(String path, Framing framing, Ending ending)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> ending.response(framing, request))) {
      server().announce("u1", upstream.address());
      RawCaller.Response response = RawCaller.send(server().address(), "HTTP/1.1", path, "");
      assertEquals(
          Seen.of(response), ending.seen(framing, path.equals("/stream/x")), response.text());
      if (ending == Ending.WHOLE) {
        assertEquals(response.body(), EVENT + EVENT);
      }
    }
  }

  @DataProvider
  public static Object[][] routes() {
    return new Object[][] {{"/stream/x"}, {"/once/x"}, {"/safe/x"}};
  }

  @Test(dataProvider = "routes")
  public void connectionOfUnframedResponseIsNotUsedAgain(String path) throws Exception {
    Set<Integer> connections = ConcurrentHashMap.newKeySet();
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, r, request) -> {
              connections.add(connection);
              // No header of the response announces that the connection ends.
              return RawUpstream.head(request, "X-Note: Connection: close\r\n") + "answer";
            })) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < 3; i++) {
        RawCaller.Response response = RawCaller.send(server().address(), "HTTP/1.1", path, "");
        assertEquals(response.body(), "answer", response.text());
      }
      assertEquals(connections.size(), 3);
    }
  }

  @Test(timeOut = 10_000)
  public void eventsOfUnframedStreamArriveBeforeItsEnd() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" + EVENTS + "\r\n";
    try (EndlessUpstream upstream = new EndlessUpstream(head, EVENT, 50_000_000L)) {
      server().announce("u1", upstream.address());
      HttpResponse<InputStream> response =
          HttpClient.newHttpClient()
              .send(
                  server().request("/stream/x", "r1").build(),
                  HttpResponse.BodyHandlers.ofInputStream());
      try (InputStream body = response.body()) {
        assertEquals(new String(body.readNBytes(EVENT.length()), US_ASCII), EVENT);
      }
    }
  }

  @Test
  public void brokenStreamIsCountedOnceAndBySignOfItsBreak() throws Exception {
    respond("/stream/x", EVENTS, EVENT + CUT_EVENT, "");
    assertEquals(server().count("ragwortpick_forward_bodies", "broken_inside_event"), 1.0);
    assertEquals(server().count("ragwortpick_forward_sends", ""), 1.0);
    assertEquals(server().count("ragwortpick_forward_sends", "LOST"), 1.0);
    assertEquals(server().count("ragwortpick_forward_requests", "broken_off"), 1.0);
  }

  @Test
  public void upstreamOfBrokenStreamIsAvoidedAfterwards() throws Exception {
    AtomicInteger broken = new AtomicInteger();
    try (RawUpstream breaking =
            new RawUpstream(
                (c, r, request) -> {
                  broken.incrementAndGet();
                  return RawUpstream.head(request, EVENTS + CLOSE) + CUT_EVENT;
                });
        RawUpstream sound =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, EVENTS, EVENT))) {
      server().announce("breaking", breaking.address());
      server().announce("sound", sound.address());
      while (broken.get() == 0) {
        RawCaller.send(server().address(), "HTTP/1.1", "/stream/x", "");
      }
      for (int i = 0; i < 3; i++) {
        assertEquals(RawCaller.send(server().address(), "HTTP/1.1", "/stream/x", "").body(), EVENT);
      }
      assertEquals(broken.get(), 1);
    }
  }
}
