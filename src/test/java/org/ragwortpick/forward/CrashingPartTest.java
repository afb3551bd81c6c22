package org.ragwortpick.forward;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests with one prompt part that end one upstream after the other. */
public final class CrashingPartTest {

  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String HARMFUL = "bad0";
  private static final int MAX_CRASHES = 5 + 3;
  private static final int REQUESTS = 14;
  private static final long PAUSE_MS = 600;

  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger incarnations = new AtomicInteger();
  private ForwardTestServer server;

  @BeforeMethod
  public void start() throws Exception {
    crashes.set(0);
    server = new ForwardTestServer();
  }

  @AfterMethod
  public void stop() {
    server.close();
  }

  /** Starts an upstream that ends when it begins a response on the harmful part. */
  private RawUpstream startUpstream() throws IOException {
    CompletableFuture<RawUpstream> started = new CompletableFuture<>();
    AtomicInteger incarnation = new AtomicInteger(incarnations.incrementAndGet());
    RawUpstream upstream =
        new RawUpstream(
            (c, r, request) -> {
              if (!isHarmful(request)) {
                return RawUpstream.response(request, EVENTS, EVENT);
              }
              crashes.incrementAndGet();
              server.withdraw("u" + incarnation.get());
              incarnation.set(incarnations.incrementAndGet());
              server.announce("u" + incarnation.get(), started.join().address());
              return RawUpstream.head(request, EVENTS + "Connection: close\r\n") + "id: 1";
            });
    started.complete(upstream);
    server.announce("u" + incarnation.get(), upstream.address());
    return upstream;
  }

  private static boolean isHarmful(Map<String, String> request) {
    return request.get("prefixes").contains(HARMFUL + ":");
  }

  private HttpResponse<String> send(String path, String id, String parts) throws Exception {
    HttpRequest request =
        server.request(path, id).header("Prefixes", parts + "," + id + ":7").build();
    return server.send(request);
  }

  private int statusOf(String path, String id, String parts) throws Exception {
    try {
      return send(path, id, parts).statusCode();
    } catch (IOException brokenOff) {
      return 0;
    }
  }

  @DataProvider
  public static Object[][] positions() {
    return new Object[][] {
      {"/stream/x", "aa:10,bad0:5"}, {"/stream/x", "bad0:5,aa:10"}, {"/safe/x", "aa:10,bad0:5"},
    };
  }

  @Test(dataProvider = "positions")
  public void requestsWithHarmfulPartStopReachingUpstreams(String path, String parts)
      throws Exception {
    try (RawUpstream first = startUpstream();
        RawUpstream second = startUpstream();
        RawUpstream third = startUpstream()) {
      for (int i = 0; i < REQUESTS; i++) {
        statusOf(path, "h" + i, parts);
        for (int j = 0; j < 2; j++) {
          String sound = "s" + i + "-" + j;
          assertTrue(statusOf("/stream/x", sound, "aa:10,cc:5") == 200, sound);
        }
        CompletableFuture<Void> pause = new CompletableFuture<>();
        pause.completeOnTimeout(null, PAUSE_MS, TimeUnit.MILLISECONDS).join();
      }
      assertTrue(crashes.get() <= MAX_CRASHES, crashes + " upstreams ended");
    }
  }
}
