package org.ragwortpick.entry.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.ragwortpick.common.HostPort;

/** Upstream that answers as soon as it has read the head, and never reads the body. */
public final class EarlyUpstream implements AutoCloseable {

  /** Small, so that the system does not take the whole body for the upstream. */
  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;

  /** Time in which the part arrives before the connection ends. */
  private static final long PAUSE_NANOS = 200_000_000L;

  /** How the connection ends after the part. */
  public enum Ending {
    RESET,
    CLOSED,
    WRITES_SHUT_DOWN
  }

  private final ServerSocket server = new ServerSocket();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Ending ending;
  private final String framing;
  private final String part;

  /**
   * Starts the upstream.
   *
   * @param ending how it ends a connection
   * @param framing headers that frame the response; empty if it ends with its connection
   * @param part part of the body that is sent
   */
  public EarlyUpstream(Ending ending, String framing, String part) throws IOException {
    this.ending = ending;
    this.framing = framing;
    this.part = part;
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    threads.execute(this::accept);
  }

  public HostPort address() {
    return new HostPort("127.0.0.1", server.getLocalPort());
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException ignored) {
      threads.shutdown();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String id = readRequestId(socket.getInputStream());
      String response =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
              + id
              + "\r\n"
              + framing
              + "\r\n"
              + part;
      socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      LockSupport.parkNanos(PAUSE_NANOS);
      if (ending == Ending.WRITES_SHUT_DOWN) {
        socket.shutdownOutput();
        LockSupport.parkNanos(PAUSE_NANOS);
      }
      if (ending == Ending.RESET) {
        socket.setSoLinger(true, 0);
      }
    } catch (IOException ignored) {
      // The caller closed the connection.
    }
  }

  /** Reads the head byte by byte, so that none of the body is taken. */
  private static String readRequestId(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.read());
    }
    return head.toString()
        .lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("request-id:"))
        .map(line -> line.substring(line.indexOf(':') + 1).trim())
        .findFirst()
        .orElseThrow();
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
