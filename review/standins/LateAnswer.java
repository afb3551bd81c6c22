import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine sends some of its answers a second time, late, where the next answer is due. */
final class LateAnswer extends Scenario {

  private static final String HOST = "bookings.example";
  private static final int CLIENTS = 12;
  private static final int REQUESTS_PER_CLIENT = 500;
  private static final int ENGINES = 5;

  /** Engines that send answers again; garble "extra late" has share = 0.6. */
  private static final int FAULTY_ENGINES = 3;

  /** One in so many answers of a faulty engine is sent again; garble "extra late" has x = 0.03. */
  private static final int REPEAT_ONE_IN = 34;

  /** For so long; garble "extra late" has for_s = 5.0. */
  private static final int REPEATS_FOR_MS = 5_000;

  private final AtomicInteger foreign = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    new LateAnswer().run(caseFolder(args), 3, 0);
  }

  @Override
  boolean play() throws Exception {
    begin(
        configuration(
            1,
            List.of(route("r-b", HOST, "/b/", "non_idempotent", "bookings", 2_000)),
            List.of("bookings")));
    List<Booking> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new Booking(
              record, "i-" + i, deployment.machines.get(i % 3).zone, deployment.net + (100 + i),
              deployment.controls()));
    }
    awaitService(HOST, "/b/warm", List.of(0, 1, 2));
    pause(2_000);
    engines.subList(0, FAULTY_ENGINES).forEach(engine -> engine.repeats = trouble);
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Engine.daemon(
          () -> {
            for (int n = 0; n < REQUESTS_PER_CLIENT; n++) {
              send(client, n);
              pause(10);
            }
            done.countDown();
          });
    }
    pause(REPEATS_FOR_MS);
    engines.forEach(engine -> engine.repeats = false);
    done.await();
    for (Booking engine : engines) {
      record.line(
          "engine %s sent %d answers a second time; it gave %d in all",
          engine.id, engine.repeated.get(), engine.answers.get());
    }
    record.line(
        "answers that belong to another request: %d of %d",
        foreign.get(), CLIENTS * REQUESTS_PER_CLIENT);
    return foreign.get() == 0;
  }

  private void send(int client, int n) {
    boolean cancels = n % 2 == 0;
    String id = (cancels ? "cancel-" : "book-") + client + "-" + n;
    Http.Message answer =
        request(client % 3, cancels ? "DELETE" : "POST", HOST, "/b/" + id, id, 1_500);
    String signature = answer.header("Response-Signature");
    boolean own = signature.isEmpty() || signature.endsWith("." + id);
    if (!own || answer.status() != 200) {
      record.line(
          "client %d: %s: %s, signature %s, Attempt-Id %s, %d bytes%s",
          client, id, answer.firstLine, signature, answer.header("Attempt-Id"), answer.body.length,
          own ? "" : "  <- answer of another request");
    }
    if (!own) {
      foreign.incrementAndGet();
    }
  }

  /** Answers cancellations without a body; the faulty one sends a few answers again. */
  private static final class Booking extends Engine {
    private final ConcurrentHashMap<Socket, String> late = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger repeated = new AtomicInteger();
    private volatile boolean repeats;

    Booking(Record record, String id, String zone, String ip, List<String> controls)
        throws IOException {
      super(record, id, "bookings", zone, ip, controls, 0);
    }

    @Override
    void handle(Http.Message request, OutputStream out, Socket socket) throws IOException {
      String attempt = request.header("Attempt-Id");
      String extra = late.remove(socket);
      if (extra != null) {
        record.line("engine %s sends an earlier answer again where that of %s is due", id, attempt);
        repeated.incrementAndGet();
        write(out, extra);
      }
      Scenario.pause(5);
      if (extra != null) {
        record.line("engine %s has run %s: %s", id, attempt, request.firstLine);
      }
      boolean cancels = request.firstLine.startsWith("DELETE");
      String answer = answer(200, request, cancels ? "" : "{\"booked\":\"" + attempt + "\"}", "");
      if (answers.incrementAndGet() % REPEAT_ONE_IN == 0 && repeats) {
        late.put(socket, answer);
      }
      write(out, answer);
    }
  }
}
