package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a stopping VM that takes requests which its end will cut off. */
public final class StoppingServerTest extends ForwardServerFixture {

  private static final long LONGER_THAN_DEADLINE_MS = ForwardTestServer.REQUEST_TIMEOUT_MS + 200;
  private static final long SHORTER_THAN_DEADLINE_MS = ForwardTestServer.REQUEST_TIMEOUT_MS - 100;
  private static final long RESPONSE_MS = 250;
  private static final long SHORTER_THAN_RESPONSE_MS = 200;
  private static final int FEW = 6;

  private static RawUpstream upstream() throws Exception {
    return new RawUpstream(
        (c, r, request) ->
            RawUpstream.response(request, "Content-Type: text/event-stream\r\n", "data: x\n\n"));
  }

  @DataProvider
  public static Object[][] routes() {
    return new Object[][] {{"safe"}, {"once"}, {"stream"}, {"staged"}};
  }

  private static void assertRefused(HttpResponse<String> response) {
    assertEquals(response.statusCode(), 503);
    assertTrue(response.body().contains("stopping"), response.body());
    assertTrue(response.headers().firstValue("Retry-After").isPresent(), "no retry time");
  }

  @Test(dataProvider = "routes")
  public void requestThatMayOutlastTheStopIsRefused(String route) throws Exception {
    try (RawUpstream upstream = upstream()) {
      server().announce("u1", upstream.address());
      server().stopAfter(SHORTER_THAN_DEADLINE_MS);
      assertRefused(server().post("/" + route + "/x", "r1"));
      assertEquals(upstream.workRequests(), 0);
      assertEquals(server().submittedStages(), 0);
    }
  }

  @Test
  public void requestThatEndsBeforeTheStopIsServed() throws Exception {
    try (RawUpstream upstream = upstream()) {
      server().announce("u1", upstream.address());
      server().stopAfter(LONGER_THAN_DEADLINE_MS);
      for (String route : new String[] {"safe", "once", "stream"}) {
        assertEquals(server().post("/" + route + "/x", "r-" + route).statusCode(), 200, route);
      }
    }
  }

  /** Short responses so far must not let in a request that may last to its deadline. */
  @Test
  public void shortResponsesBeforeDoNotLetInLongRequest() throws Exception {
    try (RawUpstream upstream = upstream()) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < FEW; i++) {
        assertEquals(server().post("/stream/x", "r" + i).statusCode(), 200);
      }
      server().stopAfter(SHORTER_THAN_DEADLINE_MS);
      assertRefused(server().post("/stream/x", "late"));
      assertEquals(upstream.workRequests(), FEW);
    }
  }

  /** A request whose head came before the signal and its body after it. */
  @Test
  public void bodyThatEndsDuringTheStopIsRefused() throws Exception {
    try (RawUpstream upstream = upstream();
        Socket socket = new Socket(server().address().host(), server().address().port())) {
      server().announce("u1", upstream.address());
      String head =
          "POST /once/x HTTP/1.1\r\nHost: "
              + server().address()
              + "\r\nRequest-Id: r1\r\nAccess-Code: k1\r\nTime-Left-Ms: 700\r\n"
              + "Content-Length: 8\r\n\r\nhalf";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      pause(100);
      server().stopAfter(300);
      socket.getOutputStream().write("rest".getBytes(StandardCharsets.US_ASCII));
      byte[] received = new byte[12];
      assertEquals(socket.getInputStream().readNBytes(received, 0, 12), 12);
      assertEquals(new String(received, StandardCharsets.US_ASCII), "HTTP/1.1 503");
      assertEquals(upstream.workRequests(), 0);
    }
  }

  /** A request that was accepted before the stop and whose stages end too late in it. */
  @Test
  public void attemptThatWouldOutlastTheStopIsNotBegunAfterItsStages() throws Exception {
    try (RawUpstream upstream = slowUpstream()) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < FEW; i++) {
        assertEquals(sendStagedAndProduce().get().statusCode(), 200);
      }
      CompletableFuture<HttpResponse<String>> staged = sendStaged();
      server().stopAfter(SHORTER_THAN_RESPONSE_MS);
      server().produceStages();
      assertRefused(staged.get());
      assertEquals(upstream.workRequests(), FEW);
    }
  }

  /** A refusal after the stages wastes them, so it needs a reason. */
  @Test
  public void acceptedRequestOfUnknownDurationIsBegun() throws Exception {
    try (RawUpstream upstream = upstream()) {
      server().announce("u1", upstream.address());
      CompletableFuture<HttpResponse<String>> staged = sendStaged();
      server().stopAfter(SHORTER_THAN_DEADLINE_MS);
      server().produceStages();
      assertEquals(staged.get().statusCode(), 200);
    }
  }

  @Test
  public void acceptedRequestOfShortRouteIsFinished() throws Exception {
    try (RawUpstream upstream = upstream()) {
      server().announce("u1", upstream.address());
      for (int i = 0; i < FEW; i++) {
        assertEquals(sendStagedAndProduce().get().statusCode(), 200);
      }
      CompletableFuture<HttpResponse<String>> staged = sendStaged();
      server().stopAfter(SHORTER_THAN_DEADLINE_MS);
      server().produceStages();
      assertEquals(staged.get().statusCode(), 200);
    }
  }

  private CompletableFuture<HttpResponse<String>> sendStagedAndProduce() throws Exception {
    CompletableFuture<HttpResponse<String>> response = sendStaged();
    server().produceStages();
    return response;
  }

  private CompletableFuture<HttpResponse<String>> sendStaged() throws Exception {
    int before = server().submittedStages();
    HttpRequest request =
        server()
            .request("/staged/x", "r1")
            .header("Parts", "1")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    CompletableFuture<HttpResponse<String>> response = server().sendAsync(request);
    for (int i = 0; i < 100 && server().submittedStages() == before; i++) {
      pause(5);
    }
    return response;
  }

  /** A repeat that begins late in the stop would be cut off like a new request. */
  @Test
  public void repeatThatWouldOutlastTheStopIsNotBegun() throws Exception {
    AtomicBoolean fails = new AtomicBoolean();
    AtomicInteger sends = new AtomicInteger();
    try (RawUpstream upstream =
        new RawUpstream(
            (c, r, request) -> {
              sends.incrementAndGet();
              if (fails.get()) {
                server().stopAfter(SHORTER_THAN_RESPONSE_MS);
                return "HTTP/1.1 421 Misdirected\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
              }
              pauseUnchecked(RESPONSE_MS);
              return RawUpstream.response(request, "", "done");
            })) {
      server().announce("u1", upstream.address());
      server().announce("u2", upstream.address());
      for (int i = 0; i < FEW; i++) {
        assertEquals(server().post("/safe/x", "r" + i).statusCode(), 200);
      }
      fails.set(true);
      assertRefused(server().post("/safe/x", "r1"));
      assertEquals(sends.get(), FEW + 1);
    }
  }

  private static RawUpstream slowUpstream() throws Exception {
    return new RawUpstream(
        (c, r, request) -> {
          pauseUnchecked(RESPONSE_MS);
          return RawUpstream.response(request, "", "done");
        });
  }

  private static void pauseUnchecked(long durationMs) {
    try {
      pause(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
