import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines answer a streaming route; two of 84 answers have no length and end with their connection, the others come in
 * chunks. The machine that passes these two on is killed meanwhile.
 */
final class Case6 {

  private static final int VMS = 7;
  private static final int STREAMS = 12 * VMS;
  /** A machine without a disk, so it runs one process. */
  private static final int KILLED = VMS - 1;
  private static final String UNFRAMED = "-unframed";
  private static final int EVENTS = 64;
  private static final int EVENT_GAP_MS = 50;
  private static final long KILL_AFTER_MS = 1_500;

  private static final String CONFIGURATION =
      "{\"Version\":7,\"RouteList\":[{\"Name\":\"quote\",\"Host\":\"desk.example\",\"PathPrefix\":\"/quote/\","
          + "\"Type\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":2200,\"Priority\":0,\"Service\":\"desk\","
          + "\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":500}],"
          + "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":280,\"Protocol\":\"h1\","
          + "\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
          + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

  private Case6() {}

  public static void main(String[] arguments) throws Exception {
    Harness harness = new Harness(arguments[0], VMS);
    harness.startAll();
    Map<String, String> sent = new ConcurrentHashMap<>();
    for (int number = 0; number < 3; number++) {
      harness.new Engine(
          "i-" + number, "desk", Harness.ZONES[number], "" + (201 + number), 64,
          (engine, request, out) -> {
            boolean framed = !request.id().endsWith(UNFRAMED);
            String head =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() + "\r\nResponse-Signature: " + engine.id + "."
                    + request.id() + "\r\nContent-Type: text/event-stream\r\n"
                    + (framed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder body = new StringBuilder();
            for (int event = 1; event <= EVENTS; event++) {
              String text = "id: " + event + "\ndata: " + request.id() + " piece " + event + " of " + EVENTS + "\n\n";
              String piece = framed ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text;
              out.write(piece.getBytes(StandardCharsets.ISO_8859_1));
              body.append(text);
              sent.put(request.id(), body.toString());
              Harness.sleep(EVENT_GAP_MS);
            }
            if (framed) {
              out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            return framed;
          });
    }
    if (!harness.configure(CONFIGURATION, 20_000) || !harness.awaitReady(20_000)) {
      harness.finish(2);
    }
    Harness.sleep(4_000);

    AtomicInteger broken = new AtomicInteger();
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger recognised = new AtomicInteger();
    CountDownLatch ended = new CountDownLatch(STREAMS);
    for (int number = 0; number < STREAMS; number++) {
      int vm = number % VMS;
      String id = "stream-" + number + (vm == KILLED && number < 2 * VMS ? UNFRAMED : "");
      Harness.daemon(
          () -> {
            try {
              String outcome = read(harness, vm, id);
              String body = outcome.substring(outcome.indexOf('|') + 1);
              boolean complete = outcome.startsWith("200|");
              boolean all = body.contains("piece " + EVENTS + " of");
              int events = body.split("\n\n", -1).length - 1;
              if (complete && !all) {
                broken.incrementAndGet();
              } else if (complete) {
                whole.incrementAndGet();
              } else {
                recognised.incrementAndGet();
              }
              harness.log(
                  "%s through vm%d: %s with %d of %d events",
                  id, vm, complete ? "complete answer 200" : "incomplete answer (" + outcome.split("\\|")[0] + ")", events, EVENTS);
            } finally {
              ended.countDown();
            }
          });
    }
    if (harness.trouble) {
      Harness.sleep(KILL_AFTER_MS);
      harness.signal(KILLED, "entry", "KILL");
    }
    ended.await();
    harness.log(
        "%d answers whole, %d seen as incomplete, %d look complete and are not",
        whole.get(), recognised.get(), broken.get());
    if (whole.get() == 0) {
      harness.finish(2);
    }
    harness.finish(broken.get() > 0 ? 1 : 0);
  }

  /** Reads an answer as HTTP/1.1 tells its end: by its length, its last chunk, or the end of the connection. */
  private static String read(Harness harness, int vm, String id) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String framing = "none";
    try (Harness.Connection connection = new Harness.Connection(harness.address(vm, Harness.FRONTEND))) {
      connection.socket.setSoTimeout(10_000);
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", "desk.example");
      headers.put("Attempt-Id", id);
      headers.put("Deadline-Ms", "15000");
      connection.out.write(connection.head("POST", "/quote/a", headers, 4));
      connection.out.write("body".getBytes(StandardCharsets.ISO_8859_1));
      connection.out.flush();
      InputStream in = connection.in;
      int status = Integer.parseInt(Harness.readLine(in).split(" ")[1]);
      Map<String, String> received = new LinkedHashMap<>();
      Harness.readHeaders(in, received);
      framing = received.containsKey("transfer-encoding") ? "chunked" : received.containsKey("content-length") ? "length" : "end of the connection";
      harness.log("%s through vm%d: status %d, signature %s, framed by %s", id, vm, status, received.get("response-signature"), framing);
      if (framing.equals("end of the connection")) {
        // A reset throws an exception; an orderly end is the end of the body.
        for (int next = in.read(); next >= 0; next = in.read()) {
          body.write(next);
        }
      } else {
        body.write(Harness.readBody(in, received, false));
      }
      return status + "|" + body;
    } catch (EOFException e) {
      return "ended early|" + body;
    } catch (IOException e) {
      return e.getMessage() + "|" + body;
    }
  }
}
