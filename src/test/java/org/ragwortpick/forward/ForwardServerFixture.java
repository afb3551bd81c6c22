package org.ragwortpick.forward;

import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base of tests that send requests to a forwarding server, which each test gets anew. */
abstract class ForwardServerFixture {

  private ForwardTestServer server;

  @BeforeMethod
  public void startServer() throws Exception {
    server = new ForwardTestServer(ResponseMemory.ofHeap(), clock());
  }

  /**
   * Returns the clock of the server. A paused one suits tests that expect a final refusal: a server
   * whose process stood still, as on a busy machine, refuses for now only.
   */
  Clock clock() {
    return new MonotonicClock();
  }

  @AfterMethod
  public void stopServer() {
    server.close();
  }

  final ForwardTestServer server() {
    return server;
  }

  static void pause(long durationMs) throws InterruptedException {
    new CountDownLatch(1).await(durationMs, TimeUnit.MILLISECONDS);
  }
}
