import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A machine is stopped in turn; a client that still knows its address sends a stream to it. */
final class StoppedMachine extends Scenario {

  private static final String HOST = "tutor.example";
  private static final int EVENTS = 120;
  private static final int EVENT_GAP_MS = 40;

  /** Requests sent sooner after the SIGTERM may be cut off. */
  private static final int EXCUSED_MS = 3_000;

  public static void main(String[] args) throws Exception {
    new StoppedMachine().run(caseFolder(args), 3, 1);
  }

  @Override
  boolean play() throws Exception {
    begin(
        configuration(
            1,
            List.of(route("r-t", HOST, "/t/", "streaming", "tutor", 20_000)),
            List.of("tutor")));
    Streaming engine =
        new Streaming(
            record, deployment.machines.get(0).zone, deployment.net + "100", deployment.controls());
    awaitService(HOST, "/t/warm", List.of(0, 3));
    engine.events = EVENTS;
    int leaving = 3;
    long stoppedAtMs = record.ms();
    if (trouble) {
      deployment.signal("TERM", "entry", leaving);
    }
    // What clients learn: the last answer of a directory that names the machine.
    long namedAtMs = stoppedAtMs;
    long validMs = 1_000;
    boolean gone = false;
    while (!gone && record.ms() < stoppedAtMs + 2_000) {
      for (int i = 0; i < 3; i++) {
        long askedAtMs = record.ms();
        Http.Message answer =
            Http.call(
                deployment.directory(i), "GET",
                "/resolve?Name=" + HOST + "&Region=norte-es&Zone=zone-a", Map.of(), "", 1_000);
        boolean named = answer.text().contains("\"" + deployment.frontend(leaving) + "\"");
        record.line("client: resolve at %d: %s", i, answer.text());
        if (named) {
          namedAtMs = askedAtMs;
          gone = false;
        } else {
          gone = true;
        }
      }
      pause(50);
    }
    record.line("last answer that named the machine: %d ms after SIGTERM", namedAtMs - stoppedAtMs);
    // Some clients keep an answer three times as long as its TtlS says.
    long lastUseMs = namedAtMs + 3 * validMs;
    CountDownLatch done = new CountDownLatch(1);
    boolean[] held = {true};
    pause(lastUseMs - 50 - record.ms());
    if (trouble && record.ms() - stoppedAtMs <= EXCUSED_MS) {
      throw new CouldNotRun("the directory forgot the machine too soon; the request would be excused");
    }
    Engine.daemon(
        () -> {
          held[0] = stream(leaving, stoppedAtMs);
          done.countDown();
        });
    done.await(30, TimeUnit.SECONDS);
    return held[0];
  }

  private boolean stream(int machine, long stoppedAtMs) {
    long sentAtMs = record.ms();
    record.line(
        "client: sends the stream s1 to the machine, %d ms after SIGTERM", sentAtMs - stoppedAtMs);
    Http.Message answer = request(machine, "POST", HOST, "/t/s1", "s1", 20_000);
    long events = answer.text().lines().filter(line -> line.startsWith("id:")).count();
    long endedAtMs = record.ms();
    record.line(
        "client: s1: %s, whole: %s, %d of %d events, ended %d ms after SIGTERM",
        answer.firstLine, answer.complete, events, EVENTS, endedAtMs - stoppedAtMs);
    boolean passedOn = events > 0;
    boolean whole = answer.complete && events == EVENTS;
    boolean refused = answer.complete && answer.status() == 503;
    return !passedOn || whole || refused;
  }

  /** Answers with a stream of events. */
  private static final class Streaming extends Engine {
    volatile int events = 1;

    Streaming(Record record, String zone, String ip, List<String> controls) throws IOException {
      super(record, "i-t", "tutor", zone, ip, controls, 0);
    }

    @Override
    void handle(Http.Message request, OutputStream out, Socket socket) throws IOException {
      String id = request.header("Attempt-Id");
      record.line("engine %s runs %s: %s", this.id, id, request.firstLine);
      write(
          out,
          "HTTP/1.1 200 OK\r\nAttempt-Id: "
              + id
              + "\r\nResponse-Signature: "
              + signature(request)
              + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      int sent = 0;
      try {
        for (int event = 1; event <= events; event++) {
          String text = "id: " + event + "\ndata: piece " + event + "\n\n";
          write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
          sent = event;
          Scenario.pause(EVENT_GAP_MS);
        }
        write(out, "0\r\n\r\n");
        record.line("engine %s: %s is complete", this.id, id);
      } catch (IOException e) {
        record.line("engine %s: %s was cut off after event %d", this.id, id, sent);
        throw e;
      }
    }
  }
}
