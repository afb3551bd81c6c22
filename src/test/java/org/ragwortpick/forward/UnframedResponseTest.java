package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a response that was cut off and reaches its caller as complete. */
public final class UnframedResponseTest {

  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String CUT_EVENT = "id: 2\nda";
  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String CLOSE = "Connection: close\r\n";

  private ForwardTestServer server;

  @BeforeMethod
  public void start() throws Exception {
    server = new ForwardTestServer();
  }

  @AfterMethod
  public void stop() {
    server.close();
  }

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
      server.announce("u1", upstream.address());
      return RawCaller.send(server.address(), version, path, connection);
    }
  }

  @DataProvider
  public static Object[][] callerConnections() {
    return new Object[][] {{"HTTP/1.1", ""}, {"HTTP/1.1", CLOSE}, {"HTTP/1.0", ""}};
  }

  @Test(dataProvider = "callerConnections", groups = "known-red")
  public void unframedStreamThatEndsInsideEventDoesNotLookComplete(
      String version, String connection) throws Exception {
    RawCaller.Response response =
        respond(version, "/stream/x", EVENTS, EVENT + CUT_EVENT, connection);
    assertFalse(response.framedAsComplete(), response.text());
    assertTrue(response.reset(), "the connection ended without a reset");
  }

  @Test(groups = "known-red")
  public void unframedStreamThatEndsBetweenEventsIsNotFramedAsComplete() throws Exception {
    RawCaller.Response response = respond("/stream/x", EVENTS, EVENT, "");
    assertFalse(response.framedAsComplete(), response.text());
    assertTrue(response.endsWithConnection(), response.text());
    assertEquals(response.body(), EVENT);
    assertFalse(response.reset());
  }

  @Test(groups = "known-red")
  public void framedStreamThatEndsInsideEventDoesNotLookComplete() throws Exception {
    String body = EVENT + CUT_EVENT;
    String chunks = chunk(body) + "0\r\n\r\n";
    RawCaller.Response chunked =
        respond("/stream/x", EVENTS + "Transfer-Encoding: chunked\r\n", chunks, "");
    assertFalse(chunked.framedAsComplete(), chunked.text());
    assertEquals(chunked.body(), body);
  }

  @Test(groups = "known-red")
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

  @Test(dataProvider = "callerConnections", groups = "known-red")
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

  @Test(groups = "known-red")
  public void unframedResponseIsNotGivenLength() throws Exception {
    RawCaller.Response response = respond("/once/x", "", "answer", "");
    assertTrue(response.head().startsWith("http/1.1 200"), response.text());
    assertTrue(response.endsWithConnection(), response.text());
    assertEquals(response.body(), "answer");
  }

  @Test(groups = "known-red")
  public void framedStreamStaysFramedOnConnectionThatIsNotKept() throws Exception {
    String chunks = chunk(EVENT) + "0\r\n\r\n";
    RawCaller.Response response =
        respond("/stream/x", EVENTS + "Transfer-Encoding: chunked\r\n", chunks, CLOSE);
    assertTrue(response.framedAsComplete(), response.text());
    assertEquals(response.body(), EVENT);
  }
}
