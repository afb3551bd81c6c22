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

/** Entry VM addresses that one caller has looked up, cached while they are valid. */
final class CallerAddresses {

  private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(800);

  private final HttpClient client;
  private final Clock clock;
  private final List<HostPort> bootstrap;
  private List<HostPort> cached = List.of();
  private long validUntilMs;
  private int nextSource;

  /**
   * Creates an empty cache.
   *
   * @param client HTTP client
   * @param clock monotonic clock
   * @param bootstrap addresses of the VMs used for the first lookup
   * @param firstIndex index of the VM used for the first lookup
   */
  CallerAddresses(HttpClient client, Clock clock, List<HostPort> bootstrap, int firstIndex) {
    this.client = client;
    this.clock = clock;
    this.bootstrap = bootstrap;
    this.nextSource = firstIndex;
  }

  /**
   * Returns the cached addresses, or looks them up if they are no longer valid.
   *
   * @return addresses in order of preference, at least one
   */
  CompletableFuture<List<HostPort>> get() {
    HostPort source;
    synchronized (this) {
      if (clock.millis() < validUntilMs && !cached.isEmpty()) {
        return CompletableFuture.completedFuture(cached);
      }
      List<HostPort> sources = sources();
      source = sources.get(Math.floorMod(nextSource, sources.size()));
      nextSource++;
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + source + "/v1/addresses"))
            .timeout(LOOKUP_TIMEOUT)
            .GET()
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((response, failure) -> update(failure == null ? response.body() : "{}"));
  }

  /** Marks the addresses as no longer valid, so that the next request looks them up again. */
  synchronized void invalidate() {
    validUntilMs = 0;
  }

  private synchronized List<HostPort> update(String body) {
    try {
      JsonNode response = Json.MESSAGES.readTree(body);
      List<HostPort> addresses = new ArrayList<>();
      response.path("addresses").forEach(node -> addresses.add(HostPort.parse(node.asText())));
      if (!addresses.isEmpty()) {
        cached = List.copyOf(addresses);
        validUntilMs = clock.millis() + response.path("validForSeconds").asLong() * 1_000;
        return cached;
      }
    } catch (IOException e) {
      validUntilMs = 0;
    }
    return sources();
  }

  private List<HostPort> sources() {
    return cached.isEmpty() ? bootstrap : cached;
  }
}
