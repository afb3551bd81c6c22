package org.ragwortpick.forward;

import java.time.Clock;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.routing.RoutedWorkspace;
import org.ragwortpick.sync.Upstream;

/** One line for each request that ended, with what decided. */
final class RequestLog {

  private static final Logger LOG = Logger.getLogger(RequestLog.class);

  private final CallerRequest request;
  private final Clock clock;
  private final ForwardMetrics metrics;
  private String upstream = "-";
  private String upstreamState = "-";
  private int status;
  private long stagesMs = -1;
  private long sentMs = -1;
  private long answeredMs = -1;

  /**
   * Creates the log of one request.
   *
   * @param request the request
   * @param clock monotonic clock
   * @param metrics counters and histograms
   */
  RequestLog(CallerRequest request, Clock clock, ForwardMetrics metrics) {
    this.request = request;
    this.clock = clock;
    this.metrics = metrics;
  }

  private long elapsedMs() {
    return clock.millis() - request.arrivedAtMs();
  }

  /** Notes that all stages are done. */
  void stagesDone() {
    stagesMs = elapsedMs();
  }

  /**
   * Notes a send.
   *
   * @param chosen upstream that was chosen
   */
  void sending(Upstream chosen) {
    upstream = chosen.id();
    upstreamState = chosen.state() + "/" + chosen.sequence();
    sentMs = elapsedMs();
  }

  /**
   * Notes that the request is sent again.
   *
   * @param outcome how the last send ended
   */
  void repeating(SendOutcome outcome) {
    DecisionLine.of("request sent again")
        .with("request", request.id())
        .with("outcome", outcome)
        .with("upstream", upstream)
        .with("remainingMs", request.deadlineAtMs() - clock.millis())
        .info(LOG);
  }

  /**
   * Notes the head of an answer.
   *
   * @param code status code
   */
  void answered(int code) {
    status = code;
    answeredMs = elapsedMs();
    metrics.answered(request.route().name(), answeredMs);
  }

  /**
   * Writes the line.
   *
   * @param end how the request ended
   * @param sends how often it was sent
   */
  void ended(String end, int sends) {
    metrics.ended(request.route().name(), end);
    DecisionLine.of("request ended")
        .with("request", request.id())
        .with("end", end)
        .with("status", status)
        .with("route", request.route().name())
        .with("routing", request.routingNumber())
        .with("workspace", request.workspace().map(RoutedWorkspace::name).orElse("-"))
        .with("priority", request.priority())
        .with("upstream", upstream)
        .with("upstreamState", upstreamState)
        .with("sends", sends)
        .with("stagesMs", stagesMs)
        .with("sentMs", sentMs)
        .with("answerMs", answeredMs)
        .with("endMs", elapsedMs())
        .with("targetMs", request.route().targetLatencyMs())
        .with("deadlineMs", request.deadlineAtMs() - request.arrivedAtMs())
        .info(LOG);
  }
}
