import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A control process loses power right after it has acknowledged that an engine is gone. */
final class LostFarewell extends Scenario {

  private static final String HOST = "desk.example";
  private static final int DRAIN_MS = 2_000;
  private static final int CONTACT_MS = 3_000;
  private static final int SERVES_ON_MS = 9_000;

  public static void main(String[] args) throws Exception {
    new LostFarewell().run(caseFolder(args), 3, 0);
  }

  @Override
  boolean play() throws Exception {
    begin(
        configuration(
            1,
            List.of(route("r-a", HOST, "/a/", "idempotent", "records", 2_000)),
            List.of("records")));
    int killed = Integer.getInteger("killed", 2);
    Counting leaving =
        new Counting(
            record, "i-0", deployment.machines.get(0).zone, deployment.net + "100",
            deployment.controls(), killed);
    Counting staying =
        new Counting(
            record, "i-1", deployment.machines.get(1).zone, deployment.net + "101",
            deployment.controls(), 0);
    awaitService(HOST, "/a/warm", List.of(0, 1, 2));
    pause(2_000);
    boolean[] running = {true};
    Engine.daemon(
        () -> {
          for (int sent = 0; running[0]; sent++) {
            int machine = sent % 3;
            Http.Message answer =
                request(machine, "GET", HOST, "/a/" + sent, "q" + sent, 1_500);
            record.line("client: q%d at machine %d: %s", sent, machine, answer.firstLine);
            pause(40);
          }
        });
    pause(1_000);
    leaving.beating = false;
    int acknowledgedBy = leaving.deregister();
    long acknowledgedAtMs = record.ms();
    if (acknowledgedBy < 0) {
      throw new CouldNotRun("the farewell was not acknowledged");
    }
    if (trouble) {
      deployment.process("control", acknowledgedBy).destroyForcibly();
      record.line("control on machine %d was killed", acknowledgedBy);
    }
    long judgeFromMs =
        acknowledgedAtMs + Math.max(DRAIN_MS, trouble ? CONTACT_MS + 200 : DRAIN_MS);
    pause(acknowledgedAtMs + SERVES_ON_MS - record.ms());
    running[0] = false;
    long broken = leaving.since(judgeFromMs);
    record.line(
        "requests that reached the engine later than %d ms after the acknowledgement: %d, the last"
            + " one %d ms after it",
        judgeFromMs - acknowledgedAtMs, broken, leaving.last() - acknowledgedAtMs);
    return broken == 0;
  }

  /** An engine that notes when requests reach it. */
  private static final class Counting extends Engine {
    private final List<Long> times = Collections.synchronizedList(new ArrayList<>());

    Counting(
        Record record, String id, String zone, String ip, List<String> controls, int firstControl)
        throws IOException {
      super(record, id, "records", zone, ip, controls, firstControl);
    }

    @Override
    void handle(Http.Message request, OutputStream out, Socket socket) throws IOException {
      times.add(record.ms());
      super.handle(request, out, socket);
    }

    long since(long ms) {
      synchronized (times) {
        return times.stream().filter(time -> time >= ms).count();
      }
    }

    long last() {
      synchronized (times) {
        return times.isEmpty() ? 0 : times.get(times.size() - 1);
      }
    }
  }
}
