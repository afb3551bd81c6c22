package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a VM whose configuration may be out of date and that refuses a request for good
 * because of it, and against one that knows its configuration to be current and does not refuse.
 */
public final class OldConfigurationTest {

  /** Time after its acknowledgement within which a change has to be in force. */
  private static final long IN_FORCE_MS = 2_000;

  /** Age of a view after a lost poll through a relay. */
  private static final long AGE_AFTER_LOST_POLL_MS = 1_900;

  /** Longer than the gap from which the process counts as not running. */
  private static final long STANDSTILL_MS = 400;

  private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;
  private static final double MAX_RETRY_AFTER_SECONDS = 0.5;

  private ManualClock clock;
  private ForwardTestServer server;
  private RawUpstream upstream;

  @BeforeMethod
  public void start() throws Exception {
    clock = new ManualClock();
    server = new ForwardTestServer(ResponseMemory.ofHeap(), clock);
    upstream = new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"));
    server.announce("u1", upstream.address());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    server.close();
    upstream.close();
  }

  /** Requests that the configuration refuses: path, key, bytes of the body and the status. */
  @DataProvider
  public static Object[][] refusedRequests() {
    return new Object[][] {
      {"/safe/x", "unknown", 4, 401},
      {"/absent/x", "k1", 4, 404},
      {"/safe/x", "k1", BODY_LIMIT_BYTES + 1, 413},
    };
  }

  private HttpResponse<String> send(String path, String key, int bytes) throws Exception {
    return server.send(
        server
            .request(path, "r1")
            .setHeader("Access-Code", key)
            .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
            .build());
  }

  private void assertRefusedForNow(HttpResponse<String> response) {
    assertEquals(response.statusCode(), 503, response.body());
    double retryAfterSeconds =
        Double.parseDouble(response.headers().firstValue("Retry-After").orElse("0"));
    assertTrue(
        retryAfterSeconds > 0 && retryAfterSeconds <= MAX_RETRY_AFTER_SECONDS,
        "Retry-After " + retryAfterSeconds);
    assertEquals(upstream.workRequests(), 0);
  }

  private void setViewAge(long ageMs) {
    long confirmedAtMs = clock.millis() - ageMs;
    server.setConfirmedAtMs(() -> confirmedAtMs);
  }

  @Test(dataProvider = "refusedRequests")
  public void currentViewRefusesForGood(String path, String key, int bytes, int status)
      throws Exception {
    setViewAge(0);
    assertEquals(send(path, key, bytes).statusCode(), status);
    setViewAge(AGE_AFTER_LOST_POLL_MS);
    assertEquals(send(path, key, bytes).statusCode(), status);
  }

  @Test(dataProvider = "refusedRequests")
  public void oldViewRefusesForNow(String path, String key, int bytes, int status)
      throws Exception {
    setViewAge(IN_FORCE_MS);
    assertRefusedForNow(send(path, key, bytes));
    setViewAge(0);
    assertEquals(send(path, key, bytes).statusCode(), status);
  }

  @Test(dataProvider = "refusedRequests")
  public void viewFromBeforeSuspensionRefusesForNow(String path, String key, int bytes, int status)
      throws Exception {
    server.setConfirmedSinceResume(false);
    assertRefusedForNow(send(path, key, bytes));
    server.setConfirmedSinceResume(true);
    assertEquals(send(path, key, bytes).statusCode(), status);
  }

  @Test(dataProvider = "refusedRequests")
  public void processThatStoodStillRefusesForNow(String path, String key, int bytes, int status)
      throws Exception {
    clock.advanceMs(STANDSTILL_MS);
    assertRefusedForNow(send(path, key, bytes));
  }

  /** The confirmation belongs to a configuration that was not the one looked up. */
  @Test(dataProvider = "refusedRequests")
  public void configurationThatIsReplacedMeanwhileRefusesForNow(
      String path, String key, int bytes, int status) throws Exception {
    server.setConfirmedAtMs(
        () -> {
          server.replaceConfiguration();
          return clock.millis();
        });
    assertRefusedForNow(send(path, key, bytes));
    assertEquals(send(path, key, bytes).statusCode(), status);
  }

  @Test
  public void requestThatOldViewAllowsIsServed() throws Exception {
    setViewAge(IN_FORCE_MS);
    assertEquals(send("/safe/x", "k1", 4).statusCode(), 200);
  }
}
