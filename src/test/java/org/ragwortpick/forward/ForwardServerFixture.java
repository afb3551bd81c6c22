package org.ragwortpick.forward;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base of tests that send requests to a forwarding server, which each test gets anew. */
abstract class ForwardServerFixture {

  private ForwardTestServer server;

  @BeforeMethod
  public void startServer() throws Exception {
    server = new ForwardTestServer(ResponseMemory.ofHeap());
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
