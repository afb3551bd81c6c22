import java.util.List;
import java.util.Map;

/** An order to take a zone back that lay in a frozen control process is obeyed after a newer one. */
final class StaleOrder extends Scenario {

  private static final String HOST = "desk.example";
  private static final int FREEZE_MS = 4_000;
  private static final int EVACUATE_MS = 5_000;
  private static final int CONTACT_MS = 3_000;

  private Engine[] engines;

  public static void main(String[] args) throws Exception {
    new StaleOrder().run(caseFolder(args), 3, 0);
  }

  @Override
  boolean play() throws Exception {
    begin(
        configuration(
            1,
            List.of(route("r-a", HOST, "/a/", "idempotent", "records", 2_000)),
            List.of("records")));
    engines = new Engine[2];
    for (int i = 0; i < 2; i++) {
      engines[i] =
          new Counting(
              record, "i-" + i, deployment.machines.get(i).zone, deployment.net + (100 + i),
              deployment.controls());
    }
    awaitService(HOST, "/a/warm", List.of(0, 1, 2));
    String zone = deployment.machines.get(0).zone;
    String start = "/evacuations/" + zone + "/start";
    String stop = "/evacuations/" + zone + "/stop";
    int frozen = 2;
    // The first evacuation, long before.
    if (!operator.order(start, "", 0, 5_000)) {
      throw new CouldNotRun("the first evacuation was not acknowledged");
    }
    pause(3_000);
    if (trouble) {
      deployment.signal("STOP", "control", frozen);
      deployment.signal("STOP", "entry", frozen);
    }
    long frozenAtMs = record.ms();
    // The operator picks the machine that has just been frozen, and moves on.
    if (!operator.order(stop, "", frozen, 6_000)) {
      throw new CouldNotRun("the zone was not taken back");
    }
    pause(700);
    if (!operator.order(start, "", 0, 6_000)) {
      throw new CouldNotRun("the second evacuation was not acknowledged");
    }
    long evacuatedAtMs = record.ms();
    pause(frozenAtMs + FREEZE_MS - record.ms());
    if (trouble) {
      deployment.signal("CONT", "control", frozen);
      deployment.signal("CONT", "entry", frozen);
    }
    long thawedAtMs = record.ms();
    long judgeFromMs = Math.max(evacuatedAtMs + EVACUATE_MS, thawedAtMs + CONTACT_MS + 500);
    record.line("judged from %.3f s on", judgeFromMs / 1000.0);
    long endMs = judgeFromMs + 5_000;
    int sent = 0;
    while (record.ms() < endMs) {
      int machine = sent % 3;
      Http.Message answer =
          request(machine, "GET", HOST, "/a/" + sent, "q" + sent, 1_500);
      record.line("client: q%d at machine %d: %s", sent, machine, answer.firstLine);
      sent++;
      pause(100);
    }
    long broken = ((Counting) engines[0]).since(judgeFromMs);
    record.line(
        "requests that reached the engine of the evacuated zone in the judged time: %d", broken);
    return broken == 0;
  }

  /** An engine that notes when requests reach it. */
  private static final class Counting extends Engine {
    private final List<Long> times =
        java.util.Collections.synchronizedList(new java.util.ArrayList<>());

    Counting(Record record, String id, String zone, String ip, List<String> controls)
        throws java.io.IOException {
      super(record, id, "records", zone, ip, controls, 0);
    }

    @Override
    void handle(Http.Message request, java.io.OutputStream out, java.net.Socket socket)
        throws java.io.IOException {
      times.add(record.ms());
      super.handle(request, out, socket);
    }

    long since(long ms) {
      synchronized (times) {
        return times.stream().filter(time -> time >= ms).count();
      }
    }
  }
}
