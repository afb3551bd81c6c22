package org.ragwortpick.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.ragwortpick.common.HostPort;

/** Caller on a plain socket, which sees how a response was framed and how its connection ended. */
public final class RawCaller {

  private static final int READ_TIMEOUT_MS = 10_000;
  private static final int READ_BYTES = 16 * 1024;
  private static final String HEAD_END = "\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private RawCaller() {}

  /** Sends a request whose connection ends after the response, and reads until it ends. */
  static Response send(HostPort address, String version, String path, String connectionHeader)
      throws IOException {
    return send(address, version, path, connectionHeader, ForwardTestServer.REQUEST_TIMEOUT_MS);
  }

  /** Sends a request with a timeout, whose connection ends after the response. */
  static Response send(
      HostPort address, String version, String path, String connectionHeader, long timeoutMs)
      throws IOException {
    return send(
        address, request(address, version, path, connectionHeader, timeoutMs), socket -> {});
  }

  /** Returns a request with the headers of the forwarding server of the tests. */
  static String request(
      HostPort address, String version, String path, String connectionHeader, long timeoutMs) {
    return "POST "
        + path
        + " "
        + version
        + "\r\nHost: "
        + address
        + "\r\nRequest-Id: r1\r\nAccess-Code: k1\r\nTime-Left-Ms: "
        + timeoutMs
        + "\r\n"
        + connectionHeader
        + "Content-Length: 0\r\n\r\n";
  }

  /**
   * Sends a request and reads until its response or the connection ends.
   *
   * @param address address of the server
   * @param request all bytes of the request
   * @param afterFirstRead called once after the first read, before the others
   * @return the response
   * @throws IOException if nothing can be sent, or if nothing arrives for 10 s
   */
  public static Response send(HostPort address, String request, SocketAction afterFirstRead)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(READ_BYTES);
      socket.connect(new InetSocketAddress(address.host(), address.port()));
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      ByteArrayOutputStream received = new ByteArrayOutputStream();
      boolean reset = !readToEnd(socket, received, afterFirstRead);
      return new Response(received.toString(StandardCharsets.US_ASCII), reset);
    }
  }

  /** Reads until the response or the connection ends; false if the connection was reset. */
  private static boolean readToEnd(
      Socket socket, ByteArrayOutputStream received, SocketAction afterFirstRead)
      throws IOException {
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[READ_BYTES];
    try {
      int count = in.read(buffer);
      afterFirstRead.apply(socket);
      while (count >= 0) {
        received.write(buffer, 0, count);
        if (new Response(received.toString(StandardCharsets.US_ASCII), false).framedAsComplete()) {
          return true;
        }
        count = in.read(buffer);
      }
      return true;
    } catch (SocketException e) {
      return false;
    }
  }

  /** What a caller does with its connection. */
  public interface SocketAction {

    /** Applies the action. */
    void apply(Socket socket) throws IOException;
  }

  /**
   * Response as the caller received it.
   *
   * @param text all bytes
   * @param reset whether the connection was reset
   */
  public record Response(String text, boolean reset) {

    public String head() {
      int end = text.indexOf(HEAD_END);
      return end < 0 ? text : text.substring(0, end).toLowerCase(Locale.ROOT);
    }

    private String rawBody() {
      int end = text.indexOf(HEAD_END);
      return end < 0 ? "" : text.substring(end + HEAD_END.length());
    }

    public boolean chunked() {
      return head().contains("transfer-encoding: chunked");
    }

    private int statedLength() {
      int start = head().indexOf("content-length: ");
      if (start < 0) {
        return -1;
      }
      return Integer.parseInt(head().substring(start).split("[: \r\n]+")[1]);
    }

    /** Returns whether its length or its last chunk says that the body is complete. */
    public boolean framedAsComplete() {
      if (!text.contains(HEAD_END)) {
        return false;
      }
      if (chunked()) {
        return rawBody().endsWith(LAST_CHUNK);
      }
      return statedLength() >= 0 && rawBody().length() >= statedLength();
    }

    /** Returns whether only the end of the connection ends the body. */
    public boolean endsWithConnection() {
      return !chunked() && statedLength() < 0;
    }

    /** Returns whether a caller takes the response for a complete one. */
    public boolean looksComplete() {
      return framedAsComplete() || (endsWithConnection() && !reset && text.contains(HEAD_END));
    }

    /** Returns the body without the framing of its chunks. */
    public String body() {
      if (!chunked()) {
        return rawBody();
      }
      StringBuilder body = new StringBuilder();
      String rest = rawBody();
      while (rest.contains("\r\n")) {
        int lineEnd = rest.indexOf("\r\n");
        int length = Integer.parseInt(rest.substring(0, lineEnd).trim(), 16);
        int end = Math.min(rest.length(), lineEnd + 2 + length);
        body.append(rest, lineEnd + 2, end);
        rest = rest.substring(Math.min(rest.length(), end + 2));
      }
      return body.toString();
    }
  }
}
