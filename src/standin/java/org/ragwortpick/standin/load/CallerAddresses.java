package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/** Addresses as one caller knows them: asked for, kept while valid, then asked for again. */
final class CallerAddresses {

  private static final Duration TIMEOUT = Duration.ofMillis(800);

  private final HttpClient client;
  private final Clock clock;
  private final List<HostPort> bootstrap;
  private List<HostPort> known = List.of();
  private long validUntilMs;
  private int next;

  /**
   * Creates the addresses of a caller that knows none yet.
   *
   * @param client HTTP client
   * @param clock monotonic clock
   * @param bootstrap addresses of VMs that are asked first
   * @param first index of the first VM to ask
   */
  CallerAddresses(HttpClient client, Clock clock, List<HostPort> bootstrap, int first) {
    this.client = client;
    this.clock = clock;
    this.bootstrap = bootstrap;
    this.next = first;
  }

  /**
   * Returns the addresses to try, best first.
   *
   * @return addresses, at least one
   */
  CompletableFuture<List<HostPort>> get() {
    HostPort asked;
    synchronized (this) {
      if (clock.millis() < validUntilMs && !known.isEmpty()) {
        return CompletableFuture.completedFuture(known);
      }
      List<HostPort> sources = sources();
      asked = sources.get(Math.floorMod(next, sources.size()));
      next++;
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + asked + "/v1/addresses"))
            .timeout(TIMEOUT)
            .GET()
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((response, failure) -> keep(failure == null ? response.body() : "{}"));
  }

  /** Forgets the addresses, so that the next request asks again. */
  synchronized void forget() {
    validUntilMs = 0;
  }

  private synchronized List<HostPort> keep(String body) {
    try {
      JsonNode answer = Json.MESSAGES.readTree(body);
      List<HostPort> addresses = new ArrayList<>();
      answer.path("addresses").forEach(node -> addresses.add(HostPort.parse(node.asText())));
      if (!addresses.isEmpty()) {
        known = List.copyOf(addresses);
        validUntilMs = clock.millis() + answer.path("validForSeconds").asLong() * 1_000;
        return known;
      }
    } catch (IOException e) {
      validUntilMs = 0;
    }
    return sources();
  }

  private List<HostPort> sources() {
    return known.isEmpty() ? bootstrap : known;
  }
}
