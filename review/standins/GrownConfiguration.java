import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The configuration grows by many routes, and is then changed again and again. */
final class GrownConfiguration extends Scenario {

  private static final int MORE_ROUTES = Integer.getInteger("routes", 1_400);
  private static final int CHANGES = Integer.getInteger("changes", 60);
  private static final int GAP_MS = 900;
  private static final int ACK_MS = 4_000;
  private static final int GIVE_UP_MS = 25_000;
  private static final int READ_MS = 10_000;

  public static void main(String[] args) throws Exception {
    new GrownConfiguration().run(caseFolder(args), 3, 0);
  }

  @Override
  boolean play() throws Exception {
    begin(configuration(1, routes(8, 0), List.of("records")));
    int acknowledged = 1;
    int more = trouble ? MORE_ROUTES : 0;
    boolean allAcknowledged = true;
    for (int version = 2; version <= CHANGES + 1 && allAcknowledged; version++) {
      long startedMs = record.ms();
      String changed = configuration(version, routes(8 + more, version), List.of("records"));
      // The operator sends a configuration again until it is accepted.
      allAcknowledged = operator.order("/config/replace", changed, GIVE_UP_MS);
      if (allAcknowledged) {
        acknowledged = version;
        pause(GAP_MS - (record.ms() - startedMs));
      } else {
        record.line(
            "version %d was not acknowledged within %d ms; AckMs and 3 ms a route are %d ms",
            version, GIVE_UP_MS, ACK_MS + 3 * (8 + more));
      }
    }
    if (!allAcknowledged) {
      boolean evacuated =
          operator.order("/evacuations/" + deployment.machines.get(0).zone + "/start", "", ACK_MS);
      record.line("an evacuation is acknowledged within AckMs: %s", evacuated);
    }
    boolean read = readBack(acknowledged);
    record.line("Acks: %s", allAcknowledged ? "held" : "BROKEN");
    record.line("CONFIG: %s", read ? "held" : "BROKEN");
    // Acks is part of the gate and no rule, so it is noted only.
    return read;
  }

  private static List<String> routes(int count, int version) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = String.format("r-%07d", i);
      int timeoutMs = i == 0 ? 5_000 + version : 5_000;
      routes.add(
          route(name, "h" + i + ".example", "/p" + i + "/", "idempotent", "records", timeoutMs));
    }
    return routes;
  }

  /** The operator reads at all control processes for longer than ContactMs (3 s). */
  private boolean readBack(int acknowledged) {
    long endMs = record.ms() + READ_MS;
    boolean readAny = false;
    boolean older = false;
    while (record.ms() < endMs) {
      for (String control : deployment.controls()) {
        Http.Message answer =
            Http.call(control, "GET", "/config/describe", Map.of(), "", 1_500);
        String text = answer.text();
        String version =
            answer.status() == 200 && text.startsWith("{\"Version\":")
                ? text.substring(11, text.indexOf(','))
                : "none";
        record.line("operator: read at %s: %s, version %s", control, answer.firstLine, version);
        if (answer.status() == 200) {
          readAny = true;
          older |= Integer.parseInt(version) < acknowledged;
        }
      }
      pause(500);
    }
    deployment.processes.forEach(
        (name, process) ->
            record.line(
                "%s: %s",
                name, process.isAlive() ? "runs" : "has ended with status " + process.exitValue()));
    record.line(
        "newest acknowledged version %d, read back: %s, an older one was read: %s",
        acknowledged, readAny, older);
    return readAny && !older;
  }
}
