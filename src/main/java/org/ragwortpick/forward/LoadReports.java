package org.ragwortpick.forward;

import io.undertow.util.HttpString;
import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.limit.UpstreamLoads;
import org.ragwortpick.policy.limit.WorkTimeReports;
import org.ragwortpick.sync.Upstream;

/** Reads the load reports in the heads of responses. Confined to the I/O thread. */
public final class LoadReports {

  private static final Logger LOG = Logger.getLogger(LoadReports.class);

  /** Time in which reports of one upstream that cannot be read are logged at most once. */
  private static final long LOG_INTERVAL_MS = 60_000;

  private final HttpString header;
  private final UpstreamLoads loads;
  private final WorkTimeReports workTimes;
  private final Clock clock;
  private final Map<String, Long> loggedAtMsByUpstream = new HashMap<>();

  /**
   * Creates an instance.
   *
   * @param names names of headers
   * @param loads receives the reported loads
   * @param workTimes receives the services whose upstreams report how long work takes
   * @param clock monotonic clock
   */
  public LoadReports(
      RoutingHeaders names, UpstreamLoads loads, WorkTimeReports workTimes, Clock clock) {
    this.header = names.load();
    this.loads = loads;
    this.workTimes = workTimes;
    this.clock = clock;
  }

  /**
   * Processes the head of a response that belongs to the request.
   *
   * @param upstream upstream that responded
   * @param head head of the response
   */
  void onHead(Upstream upstream, HttpHead head) {
    String text = head.headers().getFirst(header);
    if (text == null) {
      return;
    }
    Optional<LoadReport> parsed = LoadReport.parse(text);
    if (parsed.isEmpty()) {
      logUnreadable(upstream, text);
      return;
    }
    LoadReport report = parsed.get();
    loads.recordReport(upstream.id(), report.totalRequests());
    if (report.workTimePercent().isPresent()) {
      workTimes.record(upstream.service());
    }
  }

  /** The requests in flight are also counted locally, so the upstream is used further. */
  private void logUnreadable(Upstream upstream, String text) {
    long nowMs = clock.millis();
    Long loggedAtMs = loggedAtMsByUpstream.get(upstream.id());
    if (loggedAtMs != null && nowMs - loggedAtMs < LOG_INTERVAL_MS) {
      return;
    }
    loggedAtMsByUpstream.put(upstream.id(), nowMs);
    DecisionLine.of("load report of upstream cannot be read and is ignored")
        .with("upstream", upstream.id())
        .with("value", text)
        .info(LOG);
  }

  /** Drops what is known of upstreams whose last unreadable report is long ago. */
  public void expire() {
    long nowMs = clock.millis();
    loggedAtMsByUpstream.values().removeIf(loggedAtMs -> nowMs - loggedAtMs >= LOG_INTERVAL_MS);
  }
}
