package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an attempt that is written long after it was chosen, as if nothing had changed.
 */
public final class DelayedWriteTest extends ForwardServerFixture {

  private static final long SHORT_TIMEOUT_MS = 700;

  private final AtomicLong receivedTimeLeftMs = new AtomicLong();
  private RawUpstream first;
  private RawUpstream second;

  @BeforeMethod(dependsOnMethods = "startServer")
  public void startUpstreams() throws Exception {
    first = upstream();
    second = upstream();
    server().announceIn("dc", "u1", first.address());
  }

  private RawUpstream upstream() throws IOException {
    return new RawUpstream(
        (connection, number, request) -> {
          receivedTimeLeftMs.set(Long.parseLong(request.get("time-left-ms")));
          return RawUpstream.response(request, "", "done");
        });
  }

  @AfterMethod(alwaysRun = true)
  public void stopUpstreams() throws IOException {
    first.close();
    second.close();
  }

  @Test
  public void requestWhoseDeadlinePassedBeforeTheFirstByteIsNotRun() throws Exception {
    CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1", SHORT_TIMEOUT_MS);
    server().produceStagesAndBeforeWrite(() -> ForwardTestServer.sleep(SHORT_TIMEOUT_MS + 300));
    assertEquals(response.get().statusCode(), 503);
    assertEquals(first.workRequests(), 0);
  }

  @Test
  public void upstreamIsHandedTheTimeThatIsLeftAtTheFirstByte() throws Exception {
    long delayMs = 250;
    CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1");
    server().produceStagesAndBeforeWrite(() -> ForwardTestServer.sleep(delayMs));
    assertEquals(response.get().statusCode(), 200);
    assertTrue(
        receivedTimeLeftMs.get() <= ForwardTestServer.ROUTE_TIMEOUT_MS - delayMs,
        "left " + receivedTimeLeftMs);
  }

  @Test
  public void upstreamThatLeftBeforeTheFirstByteIsNotAsked() throws Exception {
    server().announceIn("dc2", "u2", second.address());
    CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1");
    server().produceStagesAndBeforeWrite(() -> server().withdraw("u1"));
    assertEquals(response.get().statusCode(), 200);
    assertEquals(first.workRequests(), 0);
    assertEquals(second.workRequests(), 1);
  }

  @Test
  public void upstreamThatWasReplacedBeforeTheFirstByteIsAskedAtItsNewAddress() throws Exception {
    CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1");
    server()
        .produceStagesAndBeforeWrite(
            () -> server().upstreams().announceAgain("u1", 2, second.address()));
    assertEquals(response.get().statusCode(), 200);
    assertEquals(first.workRequests(), 0);
    assertEquals(second.workRequests(), 1);
  }

  @Test
  public void upstreamThatRequestedAPauseBeforeTheFirstByteIsNotAsked() throws Exception {
    server().announceIn("dc2", "u2", second.address());
    CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1");
    server().produceStagesAndBeforeWrite(() -> server().requestPause("u1"));
    assertEquals(response.get().statusCode(), 200);
    assertEquals(first.workRequests(), 0);
    assertEquals(second.workRequests(), 1);
  }
}
