package org.ragwortpick.entry.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.common.HostPort;

/** Upstream on plain sockets, for faults that an HTTP server cannot produce. */
public final class RawUpstream implements AutoCloseable {

  /** Header of a response after which the connection is reset instead of closed. */
  public static final String RESET = "Connection: close\r\nX-Note: reset\r\n";

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final AtomicInteger workRequestCount = new AtomicInteger();
  private final Behaviour behaviour;

  public RawUpstream(Behaviour behaviour) throws IOException {
    this.behaviour = behaviour;
    threads.execute(this::accept);
  }

  public HostPort address() {
    return new HostPort("127.0.0.1", server.getLocalPort());
  }

  /** Returns the number of requests received, cancels not included. */
  public int workRequests() {
    return workRequestCount.get();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        int index = connectionCount.incrementAndGet();
        threads.execute(() -> serve(socket, index));
      }
    } catch (IOException ignored) {
      threads.shutdown();
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      int requests = 0;
      Map<String, String> headers = readRequest(in);
      while (headers != null) {
        requests++;
        workRequestCount.addAndGet(headers.get("path").equals("/v1/cancel") ? 0 : 1);
        String response = behaviour.respond(connection, requests, headers);
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        if (response.contains("Connection: close")
            || !response.startsWith("HTTP") && !response.isEmpty()) {
          socket.setSoLinger(response.contains(RESET), 0);
          return;
        }
        headers = readRequest(in);
      }
    } catch (IOException ignored) {
      // The client closed the connection.
    }
  }

  private static Map<String, String> readRequest(BufferedReader in) throws IOException {
    String line = in.readLine();
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    headers.put("path", line.split(" ")[1]);
    for (line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    char[] body = new char[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
    int read = 0;
    while (read < body.length) {
      read += Math.max(1, in.read(body, read, body.length - read));
    }
    headers.put("body", new String(body));
    return headers;
  }

  /** Returns a complete response with the attempt id of the request. */
  public static String response(Map<String, String> request, String extraHeaders, String body) {
    return head(request, extraHeaders + "Content-Length: " + body.length() + "\r\n") + body;
  }

  public static String head(Map<String, String> request, String extraHeaders) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\nStage: "
        + request.get("stage")
        + "\r\nAttempt: "
        + request.get("attempt")
        + "\r\n"
        + extraHeaders
        + "\r\n";
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }

  /** Behaviour of an upstream. */
  public interface Behaviour {

    /**
     * Returns the response to send; no response is sent if it is empty. The connection is closed
     * after a response that contains "Connection: close" and after one that is not HTTP.
     */
    String respond(int connectionNumber, int requestNumber, Map<String, String> headers)
        throws IOException;
  }
}
