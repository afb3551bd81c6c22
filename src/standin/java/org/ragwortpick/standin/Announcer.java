package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;

/** Announces an upstream to one entry VM, and to the next one when that does not answer. */
final class Announcer {

  private static final Logger LOG = Logger.getLogger(Announcer.class);
  private static final long INTERVAL_MS = 1_000;
  private static final Duration TIMEOUT = Duration.ofMillis(900);

  private final HttpClient client;
  private final List<HostPort> entryVms;
  private final UpstreamStandIn upstream;
  private final AtomicInteger current;

  /**
   * Creates the announcer of an upstream.
   *
   * @param client HTTP client
   * @param entryVms entry VMs to choose from
   * @param upstream the upstream
   * @param first index of the entry VM that is asked first
   */
  Announcer(HttpClient client, List<HostPort> entryVms, UpstreamStandIn upstream, int first) {
    this.client = client;
    this.entryVms = entryVms;
    this.upstream = upstream;
    this.current = new AtomicInteger(first);
  }

  /**
   * Starts to announce.
   *
   * @param executor executor of the announcements
   */
  void start(ScheduledExecutorService executor) {
    executor.scheduleAtFixedRate(this::announce, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void announce() {
    if (upstream.isSilent()) {
      return;
    }
    HostPort target = entryVms.get(Math.floorMod(current.get(), entryVms.size()));
    ObjectNode body = upstream.announcement();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + target + "/v1/announcements"))
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.statusCode() >= 400) {
                current.incrementAndGet();
                LOG.debugf("announcement to %s failed; trying the next entry VM", target);
              }
            });
  }
}
