package org.ragwortpick.forward;

import java.time.Clock;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.entry.upstream.ReceivedBody;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.routing.RoutedWorkspace;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.Upstream;

/** Logs one line for each request that ended, with the facts that determined its outcome. */
final class RequestLog {

  private static final Logger LOG = Logger.getLogger(RequestLog.class);

  private final CallerRequest request;
  private final PromptPrefix prefix;
  private final RequestFingerprint fingerprint;
  private final StreamVersion streamVersion;
  private final Clock clock;
  private final ForwardMetrics metrics;
  private String upstream = "-";
  private String upstreamState = "-";
  private String dataCentre = "-";
  private String version = "-";
  private long revision = -1;
  private long revisionAgeMs = -1;
  private int status;
  private long stagesMs = -1;
  private long lookUpMs = -1;
  private long attemptStartedMs = -1;
  private long writtenMs = -1;
  private long responseStartedMs = -1;
  private Optional<ReceivedBody> body = Optional.empty();
  private String brokenBy = "-";

  /**
   * Creates the log of one request.
   *
   * @param request the request
   * @param prefix prefix that its prompt shares with other requests
   * @param fingerprint fingerprint of the request
   * @param streamVersion version that may run the request
   * @param clock monotonic clock
   * @param metrics counters and histograms
   */
  RequestLog(
      CallerRequest request,
      PromptPrefix prefix,
      RequestFingerprint fingerprint,
      StreamVersion streamVersion,
      Clock clock,
      ForwardMetrics metrics) {
    this.request = request;
    this.prefix = prefix;
    this.fingerprint = fingerprint;
    this.streamVersion = streamVersion;
    this.clock = clock;
    this.metrics = metrics;
  }

  private long elapsedMs() {
    return clock.millis() - request.arrivedAtMs();
  }

  /** Records that all stages are done. */
  void stagesDone() {
    stagesMs = elapsedMs();
  }

  /** Records that the version that may run the request is determined. */
  void versionDetermined() {
    lookUpMs = elapsedMs();
  }

  /**
   * Records an attempt that starts.
   *
   * @param chosen upstream of the attempt
   * @param view view of the configuration by which it was chosen
   */
  void attemptStarted(Upstream chosen, ConfigurationView view) {
    upstream = chosen.id();
    upstreamState = chosen.state() + "/" + chosen.sequence();
    dataCentre = chosen.dataCentre();
    version = chosen.version();
    revision = view.current().revision();
    revisionAgeMs = clock.millis() - view.confirmedAtMs();
    attemptStartedMs = elapsedMs();
    writtenMs = -1;
  }

  /** Records that the first byte of the attempt is about to be written to its upstream. */
  void attemptWritten() {
    writtenMs = elapsedMs();
  }

  /**
   * Logs that the request is repeated.
   *
   * @param outcome outcome of the last attempt
   * @param decision what decided on the repeat
   */
  void repeating(AttemptOutcome outcome, RepeatDecision decision) {
    DecisionLine.of("request sent again")
        .with("request", request.id())
        .with("content", fingerprint.value())
        .with("outcome", outcome)
        .with("upstream", upstream)
        .with("dataCentre", dataCentre)
        .with("version", version)
        .with("revision", revision)
        .with("revisionAgeMs", revisionAgeMs)
        .with("retryBudget", decision.budget())
        .with("remainingMs", request.deadlineAtMs() - clock.millis())
        .info(LOG);
  }

  /**
   * Records the head of a response.
   *
   * @param code status code
   */
  void responseStarted(int code) {
    status = code;
    responseStartedMs = elapsedMs();
    metrics.responseStarted(request.route().name(), responseStartedMs);
  }

  /**
   * Records the body of the response that was passed to the caller.
   *
   * @param received body of the upstream's response
   */
  void bodyReceived(ReceivedBody received) {
    body = Optional.of(received);
    metrics.bodyReceived(request.route().name(), received);
  }

  /**
   * Records that a response broke off after its head was passed to the caller.
   *
   * @param end end of the call to the upstream
   */
  void bodyBroken(HttpEnd end) {
    brokenBy = end instanceof CallFailure.Broken broken ? broken.sign().name() : end.toString();
    metrics.bodyBroken(request.route().name(), brokenBy);
  }

  /**
   * Logs the end of the request.
   *
   * @param end label of how the request ended
   * @param attempts number of attempts
   * @param lastDecision last decision on a repeat
   */
  void ended(String end, int attempts, RepeatDecision lastDecision) {
    metrics.requestEnded(request.route().name(), end);
    TakeUp takeUp = streamVersion.takeUp();
    DecisionLine line = DecisionLine.of("request ended");
    if (takeUp.present()) {
      metrics.takeUpEnded(request.route().name(), end);
      line.with("lookUp", streamVersion.lookUp())
          .with("lookUpMs", lookUpMs)
          .with("requiredVersion", streamVersion.target().version().orElse("-"));
    }
    if (!end.equals("answered")) {
      line.with("parts", String.join(",", prefix.parts())).with("content", fingerprint.value());
    }
    line.with("request", request.id())
        .with("end", end)
        .with("status", status)
        .with("route", request.route().name())
        .with("routing", request.routingNumber())
        .with("workspace", request.workspace().map(RoutedWorkspace::name).orElse("-"))
        .with("priority", request.priority())
        .with("upstream", upstream)
        .with("upstreamState", upstreamState)
        .with("dataCentre", dataCentre)
        .with("version", version)
        .with("takeUp", takeUp.present())
        .with("resumes", takeUp.resumedId().orElse("-"))
        .with("revision", revision)
        .with("revisionAgeMs", revisionAgeMs)
        .with("sends", attempts)
        .with("repeat", lastDecision.label())
        .with("retryBudget", lastDecision.budget())
        .with("stagesMs", stagesMs)
        .with("sentMs", attemptStartedMs)
        .with("writtenMs", writtenMs)
        .with("answerMs", responseStartedMs)
        .with("endMs", elapsedMs())
        .with("framing", body.map(ReceivedBody::framing).map(Enum::name).orElse("-"))
        .with("bodyBytes", body.map(ReceivedBody::sizeBytes).orElse(-1L))
        .with("brokenBy", brokenBy)
        .with("targetMs", request.route().targetLatencyMs())
        .with("deadlineMs", request.deadlineAtMs() - request.arrivedAtMs())
        .info(LOG);
  }
}
