package org.ragwortpick.forward;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;

/** Request whose upstream works without an answer until its connection ends. */
final class AbandonedRequest implements AutoCloseable {

  /** Time after which no work may go on for a caller that has left. */
  private static final long LEFT_MS = 500;

  private final ServerSocket upstream = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
  private final Clock clock = new MonotonicClock();
  private final HostPort server;
  private final String path;

  private AbandonedRequest(HostPort server, String path) throws IOException {
    this.server = server;
    this.path = path;
  }

  static AbandonedRequest sentTo(HostPort server, String path) throws IOException {
    return new AbandonedRequest(server, path);
  }

  HostPort upstream() {
    return new HostPort("127.0.0.1", upstream.getLocalPort());
  }

  /** Sends the request, leaves once the upstream has it, and waits for the end of the work. */
  void assertWorkEndsAfterCaller() throws IOException {
    Socket work;
    try (Socket caller = new Socket(server.host(), server.port())) {
      String request =
          RawCaller.request(server, "HTTP/1.1", path, "", ForwardTestServer.REQUEST_TIMEOUT_MS);
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      work = upstream.accept();
      assertTrue(work.getInputStream().read() >= 0, "no request");
    }
    try (work) {
      long leftAtMs = clock.millis();
      work.setSoTimeout((int) ForwardTestServer.REQUEST_TIMEOUT_MS / 2);
      work.getInputStream().readAllBytes();
      long tookMs = clock.millis() - leftAtMs;
      assertTrue(tookMs <= LEFT_MS, "the work went on for " + tookMs + " ms");
    }
  }

  @Override
  public void close() throws IOException {
    upstream.close();
  }
}
