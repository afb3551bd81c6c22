import java.util.List;
import java.util.Map;
import java.util.Random;

/** The operator: sends an order to one control process after the other until it is acknowledged. */
final class Operator {

  private static final int ORDER_TIMEOUT_MS = 1_000;

  private final Record record;
  private final List<String> controls;
  private final Random random = new Random();

  Operator(Record record, List<String> controls) {
    this.record = record;
    this.controls = controls;
  }

  /** Sends an order, beginning at the given control process; returns whether it was acknowledged. */
  boolean order(String path, String body, int first, int timeoutMs) throws InterruptedException {
    long endMs = record.ms() + timeoutMs;
    int waitMs = 50;
    for (int i = first; record.ms() < endMs; i++) {
      String address = controls.get(i % controls.size());
      int limitMs = ORDER_TIMEOUT_MS + body.length() / 1_000;
      Http.Message answer =
          Http.call(
              address, "POST", path, Map.of("Content-Type", "application/json"), body, limitMs);
      record.line(
          "operator: POST %s to %s (%d bytes): %s",
          path, address, body.length(), short_(answer.firstLine));
      if (answer.status() >= 200 && answer.status() < 300) {
        return true;
      }
      if (List.of(400, 409, 412, 413, 422).contains(answer.status())) {
        record.line("operator: refused: %s", answer.text());
        return false;
      }
      Thread.sleep(waitMs);
      waitMs = Math.min(1_000, waitMs * 2);
    }
    return false;
  }

  boolean order(String path, String body, int timeoutMs) throws InterruptedException {
    return order(path, body, random.nextInt(controls.size()), timeoutMs);
  }

  static String short_(String line) {
    return line.length() > 100 ? line.substring(0, 100) : line;
  }
}
