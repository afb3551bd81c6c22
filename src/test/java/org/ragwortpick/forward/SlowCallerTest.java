package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a sound response that is cut because its caller reads slowly. */
public final class SlowCallerTest extends ForwardServerFixture {

  /** More than the socket buffers of both ends hold. */
  private static final int BODY_BYTES = 14 * 1024 * 1024;

  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
  private static final int CALLERS = 20;
  private static final int BOUND_BYTES = 1024 * 1024;
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
        Socket socket = sendTo(upstream, route)) {
      pause(PAUSE_MS);
      assertEquals(bodyBytes(socket.getInputStream()), BODY_BYTES);
    }
  }

  /** Guards against slow callers that exceed the memory of a VM together, or get cut responses. */
  @Test(dataProvider = "routes")
  public void responsesOfManySlowCallersAreBoundedAndComplete(String route) throws Exception {
    ResponseMemory memory = new ResponseMemory(BOUND_BYTES);
    String body = "#".repeat(BODY_BYTES);
    List<Socket> callers = new ArrayList<>();
    long largestBytes = 0;
    try (ForwardTestServer server = new ForwardTestServer(memory);
        RawUpstream upstream =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, "", body))) {
      server.announceLarge("u1", upstream.address());
      for (int i = 0; i < CALLERS; i++) {
        callers.add(send(server, route));
      }
      for (long waitedMs = 0; waitedMs < PAUSE_MS; waitedMs += 10) {
        largestBytes = Math.max(largestBytes, memory.heldBytes());
        pause(10);
      }
      assertTrue(memory.pausedCount() > 0, "no upstream waits");
      for (Socket caller : callers) {
        assertEquals(bodyBytes(caller.getInputStream()), BODY_BYTES);
        largestBytes = Math.max(largestBytes, memory.heldBytes());
      }
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
    }
    assertTrue(largestBytes <= BOUND_BYTES, largestBytes + " bytes were held");
  }

  private Socket sendTo(RawUpstream upstream, String route) throws IOException {
    server().announce("u1", upstream.address());
    return send(server(), route);
  }

  private static Socket send(ForwardTestServer server, String route) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(server.address().host(), server.address().port()));
    String request =
        "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r1\r\nAccess-Code: k1\r\n"
                .formatted(route, server.address())
            + "Time-Left-Ms: 10000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static long bodyBytes(InputStream in) throws Exception {
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
