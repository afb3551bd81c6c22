package org.ragwortpick.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.util.List;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.forward.RawCaller;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an event stream of a pipeline whose connection ends as if it were complete. */
public final class EventStreamEndTest {

  private static final String DONE = "event: done";
  private static final String CLOSE = "Connection: close\r\n";

  private EntryTestServer entry;

  @BeforeMethod
  public void start() throws Exception {
    entry = new EntryTestServer();
    entry.upstream("enc-1", "encoder", TestUpstreams.responding(200, "{\"output\":[1]}"));
  }

  @AfterMethod
  public void stop() {
    entry.close();
  }

  @DataProvider
  public static Object[][] callers() {
    return new Object[][] {{"HTTP/1.1", ""}, {"HTTP/1.1", CLOSE}, {"HTTP/1.0", ""}};
  }

  private RawCaller.Response send(String version, String header, RawCaller.SocketAction action)
      throws Exception {
    return send(version, "Accept: text/event-stream\r\n" + header, "pipelines/answer", action);
  }

  private RawCaller.Response send(
      String version, String headers, String path, RawCaller.SocketAction action) throws Exception {
    String request =
        "POST /v1/"
            + path
            + " "
            + version
            + "\r\nHost: a.example\r\nWorkspace: w1\r\nDeadline-Ms: 3000\r\n"
            + headers
            + "Content-Length: 2\r\n\r\n{}";
    return RawCaller.send(entry.address(), request, action);
  }

  @Test(dataProvider = "callers")
  public void brokenStreamDoesNotLookComplete(String version, String header) throws Exception {
    String token = "event: token\ndata: {\"offset\":0,\"text\":\"t0 \"}\n\n";
    try (RawUpstream engine =
        new RawUpstream(
            (c, r, headers) ->
                RawUpstream.head(
                        headers, "Content-Type: text/event-stream\r\nContent-Length: 999\r\n")
                    + token)) {
      entry.fakes().announce(EntryFakes.upstream("eng-1", engine.address(), "engine", "dc-1"));
      RawCaller.Response response = send(version, header, Socket::shutdownOutput);
      assertFalse(response.looksComplete(), response.text());
    }
  }

  @Test(dataProvider = "callers")
  public void jsonResponsesStateTheirLength(String version, String header) throws Exception {
    entry.upstream("eng-1", "engine", TestUpstreams.engine(2));
    entry.upstream("book-1", "booking", TestUpstreams.responding(200, "{\"booked\":true}"));
    String key = "Idempotency-Key: k1\r\n" + header;
    List<RawCaller.Response> responses =
        List.of(
            send(version, header, "pipelines/answer", socket -> {}),
            send(version, key, "services/booking", socket -> {}),
            send(version, header, "pipelines/unknown", socket -> {}));
    for (RawCaller.Response response : responses) {
      assertTrue(response.framedAsComplete(), response.text());
      assertFalse(response.chunked(), response.text());
    }
  }

  @Test(dataProvider = "callers")
  public void wholeStreamEndsInOrder(String version, String header) throws Exception {
    entry.upstream("eng-1", "engine", TestUpstreams.engine(2));
    RawCaller.Response response = send(version, header, socket -> {});
    assertTrue(response.looksComplete(), response.text());
    assertEquals(response.body().indexOf(DONE), response.body().lastIndexOf(DONE));
    assertTrue(response.body().contains(DONE), response.text());
  }
}
