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
 * Client of the caller API. It looks up the addresses of entry VMs, caches them while they are
 * valid, and retries at the next address a request that was not executed, or that may be repeated.
 */
public final class Caller {

  private static final int MAX_ATTEMPTS = 4;

  /** No attempt is made with less than this time until the deadline, in milliseconds. */
  private static final long MIN_REMAINING_MS = 20;

  private final HttpClient client;
  private final Clock clock;
  private final CallerAddresses addresses;

  /**
   * Creates a caller.
   *
   * @param client HTTP client
   * @param clock monotonic clock
   * @param bootstrap addresses of the VMs used for the first lookup
   * @param firstIndex index of the VM used for the first lookup
   */
  public Caller(HttpClient client, Clock clock, List<HostPort> bootstrap, int firstIndex) {
    this.client = client;
    this.clock = clock;
    this.addresses = new CallerAddresses(client, clock, bootstrap, firstIndex);
  }

  /**
   * Sends a request, with retries until its deadline.
   *
   * @param path path
   * @param headers headers by name, without the deadline
   * @param body JSON body
   * @param deadlineAtMs deadline on the clock of this caller in milliseconds
   * @param retryable whether the request may be sent again although it may have been executed
   * @return outcome of the request
   */
  CompletableFuture<Outcome> send(
      String path, Map<String, String> headers, String body, long deadlineAtMs, boolean retryable) {
    return addresses
        .get()
        .thenCompose(targets -> attempt(targets, 0, path, headers, body, deadlineAtMs, retryable));
  }

  private CompletableFuture<Outcome> attempt(
      List<HostPort> targets,
      int index,
      String path,
      Map<String, String> headers,
      String body,
      long deadlineAtMs,
      boolean retryable) {
    long remainingMs = deadlineAtMs - clock.millis();
    if (remainingMs < MIN_REMAINING_MS) {
      return CompletableFuture.completedFuture(new Outcome(0, MissingNode.getInstance(), ""));
    }
    HostPort address = targets.get(index % targets.size());
    return sendTo(address, path, headers, body, remainingMs)
        .thenCompose(
            outcome -> {
              boolean mayRetry = outcome.isNotRun() || retryable && !outcome.isOk();
              boolean invalid = outcome.status() >= 400 && outcome.status() < 429;
              if (outcome.isOk() || !mayRetry || invalid || index + 1 >= MAX_ATTEMPTS) {
                return CompletableFuture.completedFuture(outcome);
              }
              addresses.invalidate();
              return attempt(targets, index + 1, path, headers, body, deadlineAtMs, retryable);
            });
  }

  /**
   * Sends a request to one address, without retries.
   *
   * @param address address of a VM
   * @param path path
   * @param headers headers by name, without the deadline
   * @param body JSON body
   * @param remainingMs time until the deadline in milliseconds
   * @return outcome of the request
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
                    : new Outcome(0, MissingNode.getInstance(), executionAfterFailure(failure)));
  }

  /**
   * Returns what the caller can conclude about the execution of a non-idempotent call.
   *
   * @param outcome outcome of the request
   * @return {@code done}, {@code not_run} or {@code unknown}
   */
  public static String executionOutcome(Outcome outcome) {
    return outcome.isOk() ? "done" : outcome.isNotRun() ? "not_run" : "unknown";
  }

  private static String executionAfterFailure(Throwable failure) {
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
