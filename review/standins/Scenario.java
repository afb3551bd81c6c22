import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Frame of a case: starts a small deployment, plays the case, judges it and ends all processes. */
abstract class Scenario {

  private static final long START_LIMIT_MS = 40_000;
  private static final long TOTAL_LIMIT_MS = 117_000;

  /** The case could not run, so nothing was judged. */
  static final class CouldNotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CouldNotRun(String reason) {
      super(reason);
    }
  }

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  Record record;
  Deployment deployment;
  Operator operator;

  /** Plays the case; returns whether the rule held. */
  abstract boolean play() throws Exception;

  /**
   * Runs the case and exits with 0 (rule held), 1 (rule broken) or 2 (could not run).
   *
   * @param folder folder of the case
   */
  final void run(Path folder, int coreMachines, int otherMachines) {
    int status = 2;
    try {
      Path root = Path.of("").toAbsolutePath();
      record = new Record(folder.resolve("record.txt"));
      record.line("%s, TROUBLE=%s", getClass().getSimpleName(), trouble ? "1" : "0");
      watch();
      deployment = new Deployment(root, record, coreMachines, otherMachines);
      operator = new Operator(record, deployment.controls());
      deployment.start();
      boolean held = play();
      record.line("RESULT: the rule %s", held ? "held" : "was BROKEN");
      status = held ? 0 : 1;
    } catch (CouldNotRun e) {
      record.line("RESULT: the case could not run: %s", e.getMessage());
    } catch (Exception e) {
      e.printStackTrace();
      if (record != null) {
        record.line("RESULT: the case could not run: %s", e);
      }
    }
    System.exit(status);
  }

  private void watch() {
    Engine.daemon(
        () -> {
          while (record.ms() < TOTAL_LIMIT_MS) {
            pause(200);
          }
          record.line("RESULT: the case could not run: the time is over");
          System.exit(2);
        });
  }

  static void pause(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends the first configuration and waits until all machines say that they are ready. */
  final void begin(String configuration) throws Exception {
    if (!operator.order("/config/replace", configuration, (int) START_LIMIT_MS)) {
      throw new CouldNotRun("the first configuration was not acknowledged");
    }
    for (int i = 0; i < deployment.machines.size(); i++) {
      while (!isReady(i)) {
        if (record.ms() > START_LIMIT_MS) {
          throw new CouldNotRun("machine " + i + " did not become ready");
        }
        pause(100);
      }
    }
    record.line("all machines are ready");
  }

  final boolean isReady(int machine) {
    return Http.call(deployment.ready(machine), "GET", "/readyz", Map.of(), "", 1_000).status()
        == 200;
  }

  /** Waits until a request through each machine is served, so that all of them know an engine. */
  final void awaitService(String host, String path, List<Integer> machines) throws Exception {
    int probe = 0;
    for (int machine : machines) {
      while (request(machine, "GET", host, path, "warm" + probe++, 2_000).status() != 200) {
        if (record.ms() > START_LIMIT_MS) {
          throw new CouldNotRun("no request was served at machine " + machine);
        }
        pause(200);
      }
    }
    record.line("requests are served at machines %s", machines);
  }

  final Http.Message request(
      int machine, String method, String host, String path, String id, int deadlineMs) {
    return Http.call(
        deployment.frontend(machine),
        method,
        path,
        Map.of("Host", host, "Attempt-Id", id, "Deadline-Ms", Integer.toString(deadlineMs)),
        "",
        deadlineMs + 1_000);
  }

  static String route(
      String name, String host, String prefix, String type, String service, int timeoutMs) {
    return "{\"Name\":\""
        + name
        + "\",\"Host\":\""
        + host
        + "\",\"PathPrefix\":\""
        + prefix
        + "\",\"Type\":\""
        + type
        + "\",\"TimeoutMs\":"
        + timeoutMs
        + ",\"TargetLatencyMs\":"
        + Math.min(2_000, timeoutMs)
        + ",\"Priority\":1,\"Service\":\""
        + service
        + "\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":false,\"Resumable\":false}";
  }

  static String configuration(int version, List<String> routes, List<String> services) {
    StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"RouteList\":[");
    text.append(String.join(",", routes)).append("],\"Services\":[");
    for (int i = 0; i < services.size(); i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"Name\":\"")
          .append(services.get(i))
          .append(
              "\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,"
                  + "\"ColdStartS\":0.0,\"ColdPerS\":0.0}");
    }
    return text.append(
            "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}")
        .toString();
  }

  static Path caseFolder(String[] args) throws java.io.IOException {
    Path folder = Path.of(args[0]);
    Files.createDirectories(folder);
    return folder;
  }
}
