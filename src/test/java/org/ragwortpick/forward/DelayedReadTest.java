package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a request that waited unread in its socket and is treated as just sent. */
public final class DelayedReadTest extends ForwardServerFixture {

  private static final long SHORT_TIMEOUT_MS = 700;
  private static final long BEYOND_SHORT_TIMEOUT_MS = 1_500;
  private static final long WITHIN_LONG_TIMEOUT_MS = 600;
  private static final long LONG_TIMEOUT_MS = ForwardTestServer.ROUTE_TIMEOUT_MS;

  private final MonotonicClock clock = new MonotonicClock();
  private final AtomicLong receivedTimeLeftMs = new AtomicLong();
  private RawUpstream upstream;

  @BeforeMethod(dependsOnMethods = "startServer")
  public void startUpstream() throws Exception {
    upstream =
        new RawUpstream(
            (connection, number, request) -> {
              receivedTimeLeftMs.set(Long.parseLong(request.get("time-left-ms")));
              return RawUpstream.response(request, "", "done");
            });
    server().announce("u1", upstream.address());
    // Leaves a pooled connection to the upstream and a kept one to the server.
    assertEquals(sendWithTimeout("/safe/x", LONG_TIMEOUT_MS).get().statusCode(), 200);
  }

  @AfterMethod(alwaysRun = true)
  public void stopUpstream() throws IOException {
    upstream.close();
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {{"/safe/x"}, {"/once/x"}, {"/stream/x"}};
  }

  private CompletableFuture<HttpResponse<String>> sendWithTimeout(String path, long timeoutMs) {
    HttpRequest request =
        server()
            .request(path, "r1")
            .setHeader("Time-Left-Ms", Long.toString(timeoutMs))
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return server().sendAsync(request);
  }

  @Test(dataProvider = "routes")
  public void requestOnKeptConnectionThatWaitedBeyondItsDeadlineIsNotRun(String path)
      throws Exception {
    server().stall(BEYOND_SHORT_TIMEOUT_MS);
    HttpResponse<String> response = sendWithTimeout(path, SHORT_TIMEOUT_MS).get();
    assertEquals(response.statusCode(), 503);
    assertEquals(upstream.workRequests(), 1);
  }

  @Test(dataProvider = "routes")
  public void requestOnNewConnectionThatWaitedBeyondItsDeadlineIsNotRun(String path)
      throws Exception {
    server().stall(BEYOND_SHORT_TIMEOUT_MS);
    RawCaller.Response response =
        RawCaller.send(server().address(), "HTTP/1.1", path, "", SHORT_TIMEOUT_MS);
    assertTrue(response.head().startsWith("http/1.1 503"), response.text());
    assertEquals(upstream.workRequests(), 1);
  }

  @Test
  public void upstreamIsHandedTheTimeThatIsLeftAfterTheWait() throws Exception {
    long beginMs = clock.millis();
    server().stall(WITHIN_LONG_TIMEOUT_MS);
    CompletableFuture<HttpResponse<String>> response = sendWithTimeout("/safe/x", LONG_TIMEOUT_MS);
    long waitedMs = WITHIN_LONG_TIMEOUT_MS - (clock.millis() - beginMs);
    assertEquals(response.get().statusCode(), 200);
    assertTrue(
        receivedTimeLeftMs.get() <= LONG_TIMEOUT_MS - waitedMs, "left " + receivedTimeLeftMs);
  }

  @Test(dataProvider = "routes")
  public void requestWhoseCallerLeftWhileItWaitedIsNotRun(String path) throws Exception {
    server().stall(WITHIN_LONG_TIMEOUT_MS);
    HostPort address = server().address();
    try (Socket socket = new Socket(address.host(), address.port())) {
      String request =
          "POST "
              + path
              + " HTTP/1.1\r\nHost: "
              + address
              + "\r\nRequest-Id: r1\r\nAccess-Code: k1\r\nTime-Left-Ms: "
              + LONG_TIMEOUT_MS
              + "\r\n"
              + "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }
    // Answered only after the request before it was read.
    assertEquals(sendWithTimeout("/safe/x", LONG_TIMEOUT_MS).get().statusCode(), 200);
    assertEquals(upstream.workRequests(), 2);
  }
}
