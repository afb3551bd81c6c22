import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** An engine of the platform: announces itself, runs requests and answers them. */
class Engine implements AutoCloseable {

  private static final int BEAT_MS = 1_200;

  final String id;
  final String service;
  final String zone;
  final String address;
  final Record record;
  private final List<String> controls;
  private final ServerSocket server = new ServerSocket();
  private final long born = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private volatile int control;
  volatile String state = "ready";
  volatile boolean beating = true;
  private volatile boolean closed;

  Engine(
      Record record,
      String id,
      String service,
      String zone,
      String ip,
      List<String> controls,
      int firstControl)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.controls = controls;
    this.control = firstControl;
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 100);
    this.address = ip + ":" + server.getLocalPort();
    daemon(this::accept);
    daemon(this::beat);
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void beat() {
    while (!closed) {
      if (beating) {
        sendBeat();
      }
      try {
        Thread.sleep(BEAT_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one heartbeat; moves on to another control process until one acknowledges it. */
  boolean sendBeat() {
    for (int attempt = 0; attempt < controls.size(); attempt++) {
      String body =
          String.format(
              "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":64,"
                  + "\"State\":\"%s\",\"ColdLeftMs\":0,\"Sequence\":%d,\"born\":%d}",
              service, address, zone, state, sequence.incrementAndGet(), born);
      if (call("/heartbeat", body) == 200) {
        return true;
      }
      control = (control + 1) % controls.size();
    }
    return false;
  }

  /** Says that this engine leaves; returns the control process that acknowledged it, or -1. */
  int deregister() {
    for (int attempt = 0; attempt < controls.size(); attempt++) {
      int status = call("/deregister", "{\"born\":" + born + "}");
      record.line("engine %s: deregister at %s: %d", id, controls.get(control), status);
      if (status == 200) {
        return control;
      }
      control = (control + 1) % controls.size();
    }
    return -1;
  }

  private int call(String path, String body) {
    return Http.call(
            controls.get(control),
            "POST",
            "/instances/" + id + path,
            Map.of("Content-Type", "application/json"),
            body,
            1_000)
        .status();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Http.Message request = Http.read(in, false);
      while (request != null && request.complete) {
        String expected = request.header("Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          write(out, answer(421, request, "", "Not-Executed: 1\r\n"));
        } else {
          handle(request, out, socket);
        }
        request = Http.read(in, false);
      }
    } catch (IOException e) {
      // The other side has left.
    }
  }

  /** Runs a request. Sub-classes answer otherwise. */
  void handle(Http.Message request, OutputStream out, Socket socket) throws IOException {
    record.line("engine %s runs %s: %s", id, request.header("Attempt-Id"), request.firstLine);
    write(out, answer(200, request, "{\"ran\":\"" + request.header("Attempt-Id") + "\"}", ""));
  }

  /** Builds an answer with the signature of this engine. */
  String answer(int status, Http.Message request, String body, String moreHeaders) {
    return "HTTP/1.1 "
        + status
        + " X\r\nAttempt-Id: "
        + request.header("Attempt-Id")
        + "\r\nResponse-Signature: "
        + signature(request)
        + "\r\n"
        + moreHeaders
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  String signature(Http.Message request) {
    return id + "." + request.header("Attempt-Id");
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() {
    closed = true;
    beating = false;
    try {
      server.close();
    } catch (IOException e) {
      // Nothing is left to be done.
    }
  }
}
