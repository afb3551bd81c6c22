package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bodies within the configured limit that are refused. */
public final class LargeBodyTest extends ForwardServerFixture {

  private static final int LIMIT_BYTES = 4 * 1024 * 1024;
  private static final int REPETITIONS = 100;

  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {
      {1_900_000, 200}, {2_200_000, 200}, {LIMIT_BYTES, 200}, {LIMIT_BYTES + 1, 413}
    };
  }

  @Test(dataProvider = "sizes")
  public void bodyUpToTheLimitIsForwarded(int bytes, int status) throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"))) {
      server().announce("u1", upstream.address());
      HttpRequest request =
          server()
              .request("/safe/x", "r1")
              .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
              .build();
      HttpResponse<String> response = server().send(request);
      assertEquals(response.statusCode(), status, response.body());
    }
  }

  @DataProvider
  public static Object[][] framings() {
    byte[] body = new byte[2 * LIMIT_BYTES];
    return new Object[][] {
      {"stated length", HttpRequest.BodyPublishers.ofByteArray(body)},
    };
  }

  /** A connection that is closed with unread bytes is reset, and the response may be lost. */
  @Test(dataProvider = "framings")
  public void refusalOfTooLargeBodyReachesTheCaller(
      String framing, HttpRequest.BodyPublisher publisher) throws Exception {
    for (int i = 0; i < REPETITIONS; i++) {
      HttpRequest request = server().request("/safe/x", "r" + i).POST(publisher).build();
      assertEquals(server().send(request).statusCode(), 413, framing + ", repetition " + i);
    }
  }

  /** A caller that waits for permission to send its body must be refused without it. */
  @Test
  public void callerThatAsksFirstIsRefusedAtOnce() throws Exception {
    HttpRequest request =
        server()
            .request("/safe/x", "r1")
            .expectContinue(true)
            .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[LIMIT_BYTES + 1]))
            .build();
    assertEquals(server().send(request).statusCode(), 413);
  }
}
