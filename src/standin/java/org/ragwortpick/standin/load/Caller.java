package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/**
 * Caller that follows the caller API: asks for addresses, keeps them while they are valid, and
 * tries the next address when one does not answer or refuses without having run anything.
 */
public final class Caller {

  private static final int MAX_TRIES = 4;
  private static final long MIN_REMAINING_MS = 20;

  private final HttpClient client;
  private final Clock clock;
  private final CallerAddresses addresses;

  /**
   * Creates a caller.
   *
   * @param client HTTP client
   * @param clock monotonic clock
   * @param bootstrap addresses of VMs that are asked first
   * @param first index of the first VM to ask
   */
  public Caller(HttpClient client, Clock clock, List<HostPort> bootstrap, int first) {
    this.client = client;
    this.clock = clock;
    this.addresses = new CallerAddresses(client, clock, bootstrap, first);
  }

  /**
   * Sends a request.
   *
   * @param path path
   * @param headers headers by name, without the deadline
   * @param body JSON body
   * @param deadlineAtMs deadline on the clock of this caller in milliseconds
   * @param repeatable whether the request may be sent again after it was possibly run
   * @return the end of the request
   */
  CompletableFuture<Outcome> send(
      String path,
      Map<String, String> headers,
      String body,
      long deadlineAtMs,
      boolean repeatable) {
    return addresses
        .get()
        .thenCompose(known -> attempt(known, 0, path, headers, body, deadlineAtMs, repeatable));
  }

  private CompletableFuture<Outcome> attempt(
      List<HostPort> known,
      int index,
      String path,
      Map<String, String> headers,
      String body,
      long deadlineAtMs,
      boolean repeatable) {
    long remainingMs = deadlineAtMs - clock.millis();
    if (remainingMs < MIN_REMAINING_MS) {
      return CompletableFuture.completedFuture(new Outcome(0, MissingNode.getInstance(), ""));
    }
    HostPort address = known.get(index % known.size());
    return sendTo(address, path, headers, body, remainingMs)
        .thenCompose(
            outcome -> {
              boolean mayRepeat = outcome.isNotRun() || repeatable && !outcome.isAnswered();
              boolean invalid = outcome.status() >= 400 && outcome.status() < 429;
              if (outcome.isAnswered() || !mayRepeat || invalid || index + 1 >= MAX_TRIES) {
                return CompletableFuture.completedFuture(outcome);
              }
              addresses.forget();
              return attempt(known, index + 1, path, headers, body, deadlineAtMs, repeatable);
            });
  }

  /**
   * Sends a request to one address.
   *
   * @param address address of a VM
   * @param path path
   * @param headers headers by name, without the deadline
   * @param body JSON body
   * @param remainingMs time until the deadline in milliseconds
   * @return the end of the request
   */
  public CompletableFuture<Outcome> sendTo(
      HostPort address, String path, Map<String, String> headers, String body, long remainingMs) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(remainingMs))
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", Long.toString(remainingMs))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    return client
        .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, failure) ->
                failure == null
                    ? parse(response.statusCode(), response.body())
                    : new Outcome(0, MissingNode.getInstance(), notSent(failure)));
  }

  /**
   * Says what an answer tells about a non-idempotent call.
   *
   * @param outcome end of the request
   * @return {@code done}, {@code not_run} or {@code unknown}
   */
  public static String told(Outcome outcome) {
    return outcome.isAnswered() ? "done" : outcome.isNotRun() ? "not_run" : "unknown";
  }

  private static String notSent(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ConnectException ? "not_run" : "";
  }

  private static Outcome parse(int status, String text) {
    try {
      JsonNode body = Json.MESSAGES.readTree(text);
      return new Outcome(status, body, body.path("execution").asText(""));
    } catch (IOException e) {
      return new Outcome(status, MissingNode.getInstance(), "");
    }
  }
}
