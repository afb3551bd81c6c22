package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against slow callers that exceed the memory of a VM together, or get cut responses. */
public final class ManySlowCallersTest {

  /** More than the socket buffers of both ends hold. */
  private static final int BODY_BYTES = 12 * 1024 * 1024;

  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
  private static final int CALLERS = 20;
  private static final int BOUND_BYTES = 1024 * 1024;
  private static final long PAUSE_MS = 1_500;

  @DataProvider
  public static Object[][] routes() {
    return new Object[][] {{"safe"}, {"stream"}};
  }

  @Test(dataProvider = "routes")
  public void responsesOfManySlowCallersAreBoundedAndComplete(String route) throws Exception {
    ResponseMemory memory = new ResponseMemory(BOUND_BYTES);
    String body = "#".repeat(BODY_BYTES);
    try (ForwardTestServer server = new ForwardTestServer(memory);
        RawUpstream upstream =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, "", body))) {
      server.announceLarge("u1", upstream.address());
      List<Socket> callers = new ArrayList<>();
      long largestBytes = 0;
      try {
        for (int i = 0; i < CALLERS; i++) {
          callers.add(send(server, route, i));
        }
        for (long waitedMs = 0; waitedMs < PAUSE_MS; waitedMs += 10) {
          largestBytes = Math.max(largestBytes, memory.heldBytes());
          ForwardTestServer.sleep(10);
        }
        assertTrue(memory.pausedCount() > 0, "no upstream waits");
        for (Socket caller : callers) {
          assertEquals(SlowCallerTest.bodyBytes(caller.getInputStream()), BODY_BYTES);
          largestBytes = Math.max(largestBytes, memory.heldBytes());
        }
      } finally {
        for (Socket caller : callers) {
          caller.close();
        }
      }
      assertTrue(largestBytes <= BOUND_BYTES, largestBytes + " bytes were held");
    }
  }

  private static Socket send(ForwardTestServer server, String route, int number)
      throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(server.address().host(), server.address().port()));
    String request =
        "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r%d\r\nAccess-Code: k1\r\n"
                .formatted(route, server.address(), number)
            + "Time-Left-Ms: 10000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }
}
