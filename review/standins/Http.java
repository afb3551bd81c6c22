import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 messages over plain sockets, for clients, operators and engines. */
final class Http {

  private Http() {}

  /** A message: first line, headers with names in lower case, body. */
  static final class Message {
    String firstLine = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    /** Whether the whole message arrived; false if the connection ended before its end. */
    boolean complete;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      String[] words = firstLine.split(" ");
      return words.length < 2 ? 0 : Integer.parseInt(words[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** One connection of a client, which may carry several requests one after the other. */
  static final class Connection implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Connection(String address, int connectTimeoutMs) throws IOException {
      int colon = address.lastIndexOf(':');
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          connectTimeoutMs);
      in = new java.io.BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(String method, String path, Map<String, String> headers, String body)
        throws IOException {
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      if (bytes.length > 0 || method.equals("POST")) {
        head.append("Content-Length: ").append(bytes.length).append("\r\n");
      }
      head.append("\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(bytes);
      out.write(all.toByteArray());
      out.flush();
    }

    Message receive(int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs);
      return read(in, true);
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to be done.
      }
    }
  }

  /** Sends one request on a connection of its own. A failure is reported as status 0. */
  static Message call(
      String address,
      String method,
      String path,
      Map<String, String> headers,
      String body,
      int timeoutMs) {
    try (Connection connection = new Connection(address, Math.min(timeoutMs, 1_000))) {
      Map<String, String> all = new LinkedHashMap<>();
      all.put("Host", address);
      all.putAll(headers);
      connection.send(method, path, all, body);
      return connection.receive(timeoutMs);
    } catch (IOException e) {
      Message failed = new Message();
      failed.firstLine = "- 0 " + e;
      return failed;
    }
  }

  /** Reads one message, or returns null if the connection ended before its first byte. */
  static Message read(InputStream in, boolean isResponse) throws IOException {
    Message message = new Message();
    String line = readLine(in);
    if (line == null) {
      if (isResponse) {
        message.firstLine = "- 0 connection closed";
        return message;
      }
      return null;
    }
    message.firstLine = line;
    for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    if (line == null) {
      return message;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      message.complete = readChunks(in, body);
    } else if (message.headers.containsKey("content-length")) {
      int length = Integer.parseInt(message.header("content-length"));
      message.complete = readFully(in, length, body);
    } else if (isResponse && message.status() != 204 && message.status() != 304) {
      // The end of the connection is the end of the body; a reset throws an exception.
      readFully(in, Integer.MAX_VALUE, body);
      message.complete = true;
    } else {
      message.complete = true;
    }
    message.body = body.toByteArray();
    return message;
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    try {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          return false;
        }
        int length = Integer.parseInt(size.trim(), 16);
        if (!readFully(in, length, body)) {
          return false;
        }
        if (readLine(in) == null) {
          return false;
        }
        if (length == 0) {
          return true;
        }
      }
    } catch (java.net.SocketException e) {
      return false;
    }
  }

  private static boolean readFully(InputStream in, int length, ByteArrayOutputStream body)
      throws IOException {
    byte[] buffer = new byte[8_192];
    int left = length;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        return false;
      }
      body.write(buffer, 0, count);
      left -= count;
    }
    return true;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }
}
