package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.Upstream;

/**
 * Load of upstreams as one VM sees it: its own requests in flight, the last report of the upstream,
 * what was sent since, and recent failures. Confined to one thread.
 *
 * <p>Load answered: upstreams that fail part of their requests or vanish while their announcements
 * look healthy. Failures count like requests in flight, so traffic shifts away and returns as they
 * are forgotten.
 */
public final class UpstreamLoads {

  /** Age in milliseconds from which a report says nothing. */
  private static final long REPORT_VALID_MS = 2_000;

  /** Time in milliseconds in which half of the failures is forgotten. */
  private static final double FAILURE_HALF_LIFE_MS = 2_000;

  /** Load of one recent failure, as a part of the slots. */
  private static final double FAILURE_LOAD = 0.5;

  /** Failures below this number weigh nothing against requests in flight. */
  private static final double FORGOTTEN_FAILURES = 0.05;

  /** An upstream that was not reached gets nothing for so long. */
  private static final long UNREACHED_PAUSE_MS = 500;

  private final Clock clock;
  private final Map<String, Account> accounts = new HashMap<>();

  /**
   * Creates the accounts of one VM.
   *
   * @param clock monotonic clock
   */
  public UpstreamLoads(Clock clock) {
    this.clock = clock;
  }

  /**
   * Describes upstreams for a selector.
   *
   * @param upstreams the upstreams
   * @return candidates in the same order
   */
  public List<Candidate> describe(List<Upstream> upstreams) {
    long nowMs = clock.millis();
    return upstreams.stream().map(upstream -> describe(upstream, nowMs)).toList();
  }

  private Candidate describe(Upstream upstream, long nowMs) {
    Account account = accounts.get(upstream.id());
    if (account == null) {
      return new Candidate(upstream, 0, 0, true, 0);
    }
    boolean reported = nowMs - account.reportedAtMs < REPORT_VALID_MS;
    double load =
        reported
            ? Math.max(account.reported + account.sentSinceReport, account.inFlight)
            : account.inFlight;
    double failures = account.failures(nowMs);
    return new Candidate(
        upstream,
        account.inFlight,
        account.sentSinceReport,
        nowMs >= account.pausedUntilMs,
        load + failures * FAILURE_LOAD * Math.max(1, upstream.slots()));
  }

  /**
   * Notes a request that is sent.
   *
   * @param upstreamId id of the upstream
   */
  public void started(String upstreamId) {
    Account account = accounts.computeIfAbsent(upstreamId, id -> new Account());
    account.inFlight++;
    account.sentSinceReport++;
  }

  /**
   * Notes the end of a request.
   *
   * @param upstreamId id of the upstream
   */
  public void ended(String upstreamId) {
    account(upstreamId).inFlight--;
  }

  /**
   * Notes a load report.
   *
   * @param upstreamId id of the upstream
   * @param requests requests that run or wait there
   */
  public void reported(String upstreamId, int requests) {
    Account account = account(upstreamId);
    account.reported = requests;
    account.reportedAtMs = clock.millis();
    account.sentSinceReport = 0;
  }

  /**
   * Notes a request that failed at its upstream.
   *
   * @param upstreamId id of the upstream
   */
  public void failed(String upstreamId) {
    long nowMs = clock.millis();
    Account account = account(upstreamId);
    account.failures = account.failures(nowMs) + 1;
    account.failedAtMs = nowMs;
  }

  /**
   * Notes that an upstream was not reached.
   *
   * @param upstreamId id of the upstream
   */
  public void notReached(String upstreamId) {
    failed(upstreamId);
    account(upstreamId).pausedUntilMs = clock.millis() + UNREACHED_PAUSE_MS;
  }

  private Account account(String upstreamId) {
    return accounts.computeIfAbsent(upstreamId, id -> new Account());
  }

  /** Drops the accounts of upstreams without requests in flight or recent events. */
  public void expire() {
    long nowMs = clock.millis();
    accounts
        .values()
        .removeIf(
            account ->
                account.inFlight == 0
                    && nowMs - account.reportedAtMs > REPORT_VALID_MS
                    && account.failures(nowMs) < FORGOTTEN_FAILURES
                    && nowMs >= account.pausedUntilMs);
  }

  private static final class Account {
    private int inFlight;
    private int reported;
    private int sentSinceReport;
    private long reportedAtMs;
    private double failures;
    private long failedAtMs;
    private long pausedUntilMs;

    private double failures(long nowMs) {
      return failures * Math.pow(0.5, (nowMs - failedAtMs) / FAILURE_HALF_LIFE_MS);
    }
  }
}
