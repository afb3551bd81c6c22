package org.ragwortpick.entry.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.ragwortpick.common.HostPort;

/** Upstream that answers every request with bytes that do not end until the caller closes. */
public final class EndlessUpstream implements AutoCloseable {

  private static final int BURST_BYTES = 16 * 1024;

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final String beginning;
  private final String repeated;
  private final long pauseNanos;

  /**
   * Starts the upstream.
   *
   * @param beginning first bytes of each response; {id} stands for the id of the request
   * @param repeated bytes that follow again and again
   * @param pauseNanos pause between two repetitions; 0 for as fast as the caller reads
   */
  public EndlessUpstream(String beginning, String repeated, long pauseNanos) throws IOException {
    this.beginning = beginning;
    this.repeated =
        pauseNanos > 0 ? repeated : repeated.repeat(Math.max(1, BURST_BYTES / repeated.length()));
    this.pauseNanos = pauseNanos;
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
      String id = readRequestId(socket);
      OutputStream out = socket.getOutputStream();
      out.write(beginning.replace("{id}", id).getBytes(StandardCharsets.US_ASCII));
      byte[] filler = repeated.getBytes(StandardCharsets.US_ASCII);
      while (!Thread.currentThread().isInterrupted()) {
        out.write(filler);
        LockSupport.parkNanos(pauseNanos);
      }
    } catch (IOException ignored) {
      // The caller closed the connection.
    }
  }

  private static String readRequestId(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String id = "";
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("request-id:")) {
        id = line.substring(line.indexOf(':') + 1).trim();
      }
    }
    return id;
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
