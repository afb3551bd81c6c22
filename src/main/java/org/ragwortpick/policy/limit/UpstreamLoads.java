package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.Upstream;

/**
 * Load of upstreams as estimated by one VM from its own requests in flight, the last report of the
 * upstream, the requests sent since, and recent failures. Confined to one thread.
 *
 * <p>Guards against upstreams that fail some requests or become unreachable while they are still
 * announced as healthy. Failures count as additional load, so that traffic shifts away from the
 * upstream and returns as the failures decay. A request that probably stays unanswered counts as a
 * failure as long as it lasts.
 */
public final class UpstreamLoads {

  /** Age in milliseconds from which a report is stale and ignored. */
  private static final long REPORT_VALID_MS = 2_000;

  /** Time in milliseconds after which a failure counts half. */
  private static final double FAILURE_HALF_LIFE_MS = 2_000;

  /** Load that one recent failure adds, as a fraction of the slots. */
  private static final double FAILURE_LOAD_PER_SLOT = 0.5;

  /**
   * Decayed number of failures below which they are dropped, because they weigh nothing against
   * requests in flight.
   */
  private static final double MIN_FAILURES = 0.05;

  /** Time for which an upstream is unavailable after a request did not reach it. */
  private static final long UNREACHABLE_COOLDOWN_MS = 500;

  /** Weight of one request in the average duration of requests at an upstream. */
  private static final double DURATION_WEIGHT = 0.1;

  private final Clock clock;
  private final ExpectedLoads expectedLoads = new ExpectedLoads(REPORT_VALID_MS);
  private final Map<String, Entry> entries = new HashMap<>();

  /**
   * Creates the estimates of one VM.
   *
   * @param clock monotonic clock
   */
  public UpstreamLoads(Clock clock) {
    this.clock = clock;
  }

  /**
   * Lists upstreams as candidates for a selector.
   *
   * @param upstreams the upstreams
   * @return candidates in the same order
   */
  public List<Candidate> describe(List<Upstream> upstreams) {
    long nowMs = clock.millis();
    return upstreams.stream().map(upstream -> describe(upstream, nowMs)).toList();
  }

  /**
   * Lists upstreams of one service as candidates with their expected loads and speeds, for a
   * selector that makes the loads even.
   *
   * @param upstreams the upstreams
   * @param speeds speeds of upstreams
   * @return candidates in the same order
   */
  public List<Candidate> describeExpected(List<Upstream> upstreams, UpstreamSpeeds speeds) {
    long nowMs = clock.millis();
    List<ObservedUpstream> observed = new ArrayList<>(upstreams.size());
    for (Upstream upstream : upstreams) {
      observed.add(observe(upstream, speeds, nowMs));
    }
    return expectedLoads.interpret(observed);
  }

  private ObservedUpstream observe(Upstream upstream, UpstreamSpeeds speeds, long nowMs) {
    double speed = speeds.speed(upstream.id());
    double momentarySpeed = speeds.momentarySpeed(upstream.id());
    Entry entry = entries.get(upstream.id());
    if (entry == null) {
      return new ObservedUpstream(
          upstream, 0, 0, 0, Long.MAX_VALUE, 0, speed, momentarySpeed, 0, true);
    }
    double failures = entry.failures(nowMs) + entry.silent(nowMs);
    return new ObservedUpstream(
        upstream,
        entry.inFlight,
        entry.sentSinceReport,
        Math.max(0, entry.reportedRequests - entry.inFlightAtReport),
        entry.reportedAtMs == 0 ? Long.MAX_VALUE : nowMs - entry.reportedAtMs,
        entry.meanDurationMs,
        speed,
        momentarySpeed,
        failures * FAILURE_LOAD_PER_SLOT * Math.max(1, upstream.slots()),
        nowMs >= entry.cooldownUntilMs);
  }

  private Candidate describe(Upstream upstream, long nowMs) {
    Entry entry = entries.get(upstream.id());
    if (entry == null) {
      return new Candidate(upstream, 0, 0, true, 0);
    }
    boolean isReportCurrent = nowMs - entry.reportedAtMs < REPORT_VALID_MS;
    double load =
        isReportCurrent
            ? Math.max(entry.reportedRequests + entry.sentSinceReport, entry.inFlight)
            : entry.inFlight;
    double failures = entry.failures(nowMs) + entry.silent(nowMs);
    return new Candidate(
        upstream,
        entry.inFlight,
        entry.sentSinceReport,
        nowMs >= entry.cooldownUntilMs,
        load + failures * FAILURE_LOAD_PER_SLOT * Math.max(1, upstream.slots()));
  }

  /**
   * Records that a request was sent.
   *
   * @param upstreamId id of the upstream
   * @param usualMs usual time until the head of the response in milliseconds
   * @return the request, for the calls that record its progress
   */
  public PendingResponse recordStart(String upstreamId, long usualMs) {
    Entry entry = entry(upstreamId);
    entry.inFlight++;
    entry.sentSinceReport++;
    PendingResponse request = new PendingResponse(upstreamId, clock.millis(), usualMs);
    entry.pending.add(request);
    return request;
  }

  /**
   * Records that a response has begun.
   *
   * @param request the request
   * @param served whether the upstream has worked on the request; a refusal overtakes others
   *     although they are not silent
   */
  public void recordHead(PendingResponse request, boolean served) {
    List<PendingResponse> pending = entry(request.upstreamId()).pending;
    int position = pending.indexOf(request);
    if (position >= 0 && served) {
      pending.subList(0, position).forEach(PendingResponse::recordOvertaking);
    }
    pending.remove(request);
  }

  /**
   * Records that a request ended.
   *
   * @param request the request
   * @return whether the upstream has left it unanswered
   */
  public boolean recordEnd(PendingResponse request) {
    Entry entry = entry(request.upstreamId());
    entry.inFlight--;
    entry.addDuration(clock.millis() - request.startedAtMs());
    return entry.pending.remove(request) && request.isSilent(clock.millis());
  }

  /**
   * Records a load report.
   *
   * @param upstreamId id of the upstream
   * @param requests requests that run or wait at the upstream
   */
  public void recordReport(String upstreamId, int requests) {
    Entry entry = entry(upstreamId);
    entry.reportedRequests = requests;
    entry.reportedAtMs = clock.millis();
    entry.sentSinceReport = 0;
    entry.inFlightAtReport = entry.inFlight;
  }

  /**
   * Records that a request failed at its upstream.
   *
   * @param upstreamId id of the upstream
   */
  public void recordFailure(String upstreamId) {
    long nowMs = clock.millis();
    Entry entry = entry(upstreamId);
    entry.failures = entry.failures(nowMs) + 1;
    entry.failedAtMs = nowMs;
  }

  /**
   * Records that an upstream was not reached, which also counts as a failure.
   *
   * @param upstreamId id of the upstream
   */
  public void recordUnreached(String upstreamId) {
    recordFailure(upstreamId);
    entry(upstreamId).cooldownUntilMs = clock.millis() + UNREACHABLE_COOLDOWN_MS;
  }

  /**
   * Returns how old the load reports are on average.
   *
   * @return mean age in milliseconds; 0 without reports
   */
  public int meanReportAgeMs() {
    long nowMs = clock.millis();
    return (int)
        entries.values().stream()
            .filter(entry -> entry.reportedAtMs > 0)
            .mapToLong(entry -> nowMs - entry.reportedAtMs)
            .average()
            .orElse(0);
  }

  private Entry entry(String upstreamId) {
    return entries.computeIfAbsent(upstreamId, id -> new Entry());
  }

  /** Drops the entries of upstreams without requests in flight or recent events. */
  public void expire() {
    long nowMs = clock.millis();
    entries
        .values()
        .removeIf(
            entry ->
                entry.inFlight == 0
                    && nowMs - entry.reportedAtMs > REPORT_VALID_MS
                    && entry.failures(nowMs) < MIN_FAILURES
                    && nowMs >= entry.cooldownUntilMs);
  }

  private static final class Entry {
    private final List<PendingResponse> pending = new ArrayList<>();
    private int inFlight;
    private int reportedRequests;
    private int sentSinceReport;
    private int inFlightAtReport;
    private double meanDurationMs;
    private long reportedAtMs;
    private double failures;
    private long failedAtMs;
    private long cooldownUntilMs;

    private long silent(long nowMs) {
      return pending.stream().filter(request -> request.isSilent(nowMs)).count();
    }

    private void addDuration(long durationMs) {
      meanDurationMs =
          meanDurationMs == 0
              ? durationMs
              : meanDurationMs + DURATION_WEIGHT * (durationMs - meanDurationMs);
    }

    private double failures(long nowMs) {
      return failures * Math.pow(0.5, (nowMs - failedAtMs) / FAILURE_HALF_LIFE_MS);
    }
  }
}
