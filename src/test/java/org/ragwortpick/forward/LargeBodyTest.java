package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bodies within the configured limit that are refused. */
public final class LargeBodyTest extends ForwardServerFixture {

  private static final int LIMIT_BYTES = 4 * 1024 * 1024;
  private static final int REPETITIONS = 100;

  /** Far below the time that the request states, for a machine that is busy. */
  private static final int AT_ONCE_MS = 2_000;

  @Override
  Clock clock() {
    return new ManualClock();
  }

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
    HostPort address = server().address();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(AT_ONCE_MS);
      String head =
          "POST /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: r1\r\nAccess-Code: k1\r\n"
              + "Time-Left-Ms: 5000\r\nExpect: 100-continue\r\nContent-Length: "
              + (LIMIT_BYTES + 1)
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      BufferedReader response =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      assertEquals(response.readLine(), "HTTP/1.1 413 Request Entity Too Large");
    }
  }
}
