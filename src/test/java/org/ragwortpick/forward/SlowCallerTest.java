package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a sound response that is cut because its caller reads slowly. */
public final class SlowCallerTest extends ForwardServerFixture {

  /** More than the socket buffers of both ends hold. */
  private static final int BODY_BYTES = 14 * 1024 * 1024;

  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
  private static final long PAUSE_MS = 1_500;

  @DataProvider
  public static Object[][] routes() {
    return new Object[][] {{"safe"}, {"stream"}};
  }

  @Test(dataProvider = "routes")
  public void largeResponseReachesACallerThatPauses(String route) throws Exception {
    try (RawUpstream upstream =
            new RawUpstream(
                (c, r, request) ->
                    RawUpstream.response(
                        request, "Content-Type: text/event-stream\r\n", "#".repeat(BODY_BYTES)));
        Socket socket = new Socket()) {
      server().announce("u1", upstream.address());
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(new InetSocketAddress(server().address().host(), server().address().port()));
      String request =
          "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r1\r\nAccess-Code: k1\r\n"
                  .formatted(route, server().address())
              + "Time-Left-Ms: 10000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      pause(PAUSE_MS);
      assertEquals(bodyBytes(socket.getInputStream()), BODY_BYTES);
    }
  }

  static long bodyBytes(InputStream in) throws Exception {
    byte[] buffer = new byte[64 * 1024];
    long count = 0;
    int read = in.read(buffer);
    while (read >= 0) {
      for (int i = 0; i < read; i++) {
        count += buffer[i] == '#' ? 1 : 0;
      }
      read = in.read(buffer);
    }
    return count;
  }
}
