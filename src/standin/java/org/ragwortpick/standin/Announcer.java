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

/** Announces an upstream to one entry VM, switching to the next one after a failed request. */
final class Announcer {

  private static final Logger LOG = Logger.getLogger(Announcer.class);
  private static final long ANNOUNCEMENT_INTERVAL_MS = 1_000;
  private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofMillis(900);

  private final HttpClient client;
  private final List<HostPort> entryVms;
  private final UpstreamStandIn upstream;
  private final AtomicInteger targetIndex;

  /**
   * Creates the announcer of an upstream.
   *
   * @param client HTTP client
   * @param entryVms caller addresses of the entry VMs, used in turn
   * @param upstream the upstream
   * @param firstIndex index of the entry VM to which the first announcement goes
   */
  Announcer(HttpClient client, List<HostPort> entryVms, UpstreamStandIn upstream, int firstIndex) {
    this.client = client;
    this.entryVms = entryVms;
    this.upstream = upstream;
    this.targetIndex = new AtomicInteger(firstIndex);
  }

  /**
   * Schedules the periodic announcements.
   *
   * @param executor executor that runs the announcements
   */
  void start(ScheduledExecutorService executor) {
    executor.scheduleAtFixedRate(
        this::announce, 0, ANNOUNCEMENT_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void announce() {
    if (upstream.isSilent()) {
      return;
    }
    HostPort target = entryVms.get(Math.floorMod(targetIndex.get(), entryVms.size()));
    ObjectNode body = upstream.nextAnnouncement();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + target + "/v1/announcements"))
            .timeout(ANNOUNCEMENT_TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.statusCode() >= 400) {
                targetIndex.incrementAndGet();
                LOG.debugf(
                    "upstream %s: announcement to entry VM %s failed; using the next entry VM",
                    upstream.spec().id(), target);
              }
            });
  }
}
