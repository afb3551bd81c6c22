package org.ragwortpick.policy.limit;

import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.sync.Upstream;

/** What the local VM knows about one upstream. Guarded by itself. */
final class UpstreamAccount {

  /**
   * Reported loads are smoothed over about ten reports and count half. Unsmoothed, all VMs move
   * together to the upstream that looked empty a second ago: requests in time fell from 100% to 97%
   * at a load of 70%.
   */
  private static final double NEW_REPORT_SHARE = 0.1;

  private static final double OTHERS_WEIGHT = 0.5;

  private static final int FAILURES_BEFORE_EJECTION = 2;
  private static final long MIN_BACK_OFF_MS = 1_000;
  private static final long MAX_BACK_OFF_MS = 16_000;

  /** A refusal below this part of the known places is not explained by load. */
  private static final double BUSY = 0.8;

  private final String service;
  private final ConcurrencyLimit limit = new ConcurrencyLimit();
  private final LatencyBaseline latency = new LatencyBaseline();
  private int slots = -1;
  private long incarnation;
  private long reportSequence;
  private int inFlight;
  private int sentSinceReport;
  private int reportedLoad;
  private double othersLoad = -1;
  private int failuresInRow;
  private boolean ejected;
  private boolean probing;
  private long probeAtMs;
  private long backOffMs = MIN_BACK_OFF_MS;
  private final Evidence refusals = new Evidence();
  private final Evidence timeouts = new Evidence();
  private long seenAtMs;

  /**
   * Creates an account.
   *
   * @param service service of the upstream
   */
  UpstreamAccount(String service) {
    this.service = service;
  }

  /**
   * Returns the service.
   *
   * @return service of the upstream
   */
  String service() {
    return service;
  }

  /**
   * Takes the newest record of the upstream.
   *
   * @param upstream the record
   * @param entryVms number of entry VMs
   * @param nowMs current time
   */
  synchronized void observe(Upstream upstream, int entryVms, long nowMs) {
    seenAtMs = nowMs;
    boolean restarted = slots >= 0 && upstream.incarnation() > incarnation;
    if (upstream.slots() != slots || restarted) {
      limit.reset(upstream.slots(), entryVms);
      slots = upstream.slots();
    }
    if (restarted) {
      latency.clear();
      refusals.clear();
      timeouts.clear();
      ejected = false;
      failuresInRow = 0;
      backOffMs = MIN_BACK_OFF_MS;
    }
    if (upstream.incarnation() >= incarnation
        && (restarted || upstream.sequence() > reportSequence)) {
      incarnation = upstream.incarnation();
      reportSequence = upstream.sequence();
      sentSinceReport = 0;
      reportedLoad = upstream.load();
      if (reportedLoad > slots) {
        limit.yield();
      }
      double others = Math.max(0, upstream.load() - inFlight);
      othersLoad =
          othersLoad < 0 || restarted
              ? others
              : othersLoad + (others - othersLoad) * NEW_REPORT_SHARE;
    }
  }

  /**
   * Takes a place.
   *
   * @param nowMs current time
   * @return true if the request may be sent
   */
  synchronized boolean tryAcquire(long nowMs) {
    if (!isAvailable(nowMs)) {
      return false;
    }
    probing = ejected;
    inFlight++;
    sentSinceReport++;
    return true;
  }

  /**
   * Tells whether a request may be sent.
   *
   * @param nowMs current time
   * @return false if the upstream is ejected or at its limit
   */
  synchronized boolean isAvailable(long nowMs) {
    return ejected ? !probing && nowMs >= probeAtMs : inFlight < limit.value();
  }

  /**
   * Gives back a place.
   *
   * @param upstream record of the upstream
   * @param result how the attempt ended
   * @param firstByteMs time until the first byte in milliseconds; negative if none arrived
   * @param nowMs current time
   * @return true if the upstream failed often enough to be ejected
   */
  synchronized boolean release(
      Upstream upstream, AttemptResult result, long firstByteMs, long nowMs) {
    if (firstByteMs >= 0) {
      latency.record(firstByteMs);
    }
    switch (result) {
      case SUCCESS -> recordSuccess();
      case REFUSED -> {
        limit.decrease(nowMs);
        recordRefusal(upstream, nowMs);
      }
      case FAILED -> failuresInRow++;
      case TIMED_OUT -> {
        failuresInRow++;
        limit.decrease(nowMs);
        timeouts.record(nowMs);
      }
      default -> {
        // A cancelled attempt says nothing about the upstream.
      }
    }
    inFlight = Math.max(0, inFlight - 1);
    boolean failedProbe = ejected && result != AttemptResult.SUCCESS;
    if (failedProbe && probing) {
      probing = false;
      // A cancelled probe says nothing, so that the next one may follow at once.
      if (result != AttemptResult.CANCELLED) {
        backOffMs = Math.min(MAX_BACK_OFF_MS, backOffMs * 2);
        probeAtMs = nowMs + backOffMs;
      }
    }
    return !ejected && failuresInRow >= FAILURES_BEFORE_EJECTION;
  }

  /**
   * Ejects the upstream until a probe succeeds.
   *
   * @param nowMs current time
   */
  synchronized void eject(long nowMs) {
    ejected = true;
    probing = false;
    probeAtMs = nowMs + backOffMs;
  }

  /**
   * Tells whether the upstream is ejected.
   *
   * @return true until a probe succeeds
   */
  synchronized boolean isEjected() {
    return ejected;
  }

  /**
   * Tells whether the upstream is far slower than usual: first bytes are late or missing.
   *
   * @param nowMs current time
   * @return true if its latency jumped or if attempts timed out
   */
  synchronized boolean isSlow(long nowMs) {
    return latency.hasJumped() || timeouts.isEnough(nowMs);
  }

  /**
   * Tells whether refusals without load point to a cold start.
   *
   * @param nowMs current time
   * @return true if there is enough recent evidence
   */
  synchronized boolean refusesWithoutLoad(long nowMs) {
    return refusals.isEnough(nowMs);
  }

  /**
   * Counts the requests of the local VM in flight.
   *
   * @return requests in flight
   */
  synchronized int inFlight() {
    return inFlight;
  }

  /**
   * Counts the requests sent since the last load report.
   *
   * @return requests sent
   */
  synchronized int sentSinceReport() {
    return sentSinceReport;
  }

  /**
   * Estimates the requests that run at the upstream now.
   *
   * @return requests of all VMs
   */
  synchronized double expectedLoad() {
    return inFlight + OTHERS_WEIGHT * Math.max(0, othersLoad);
  }

  /**
   * Returns the time at which a record of the upstream was last used.
   *
   * @return time in milliseconds
   */
  synchronized long seenAtMs() {
    return seenAtMs;
  }

  private void recordSuccess() {
    limit.increase(inFlight, reportedLoad < slots);
    failuresInRow = 0;
    ejected = false;
    probing = false;
    backOffMs = MIN_BACK_OFF_MS;
  }

  private void recordRefusal(Upstream upstream, long nowMs) {
    boolean busy = upstream.load() + sentSinceReport >= BUSY * Math.max(1, slots);
    if (!busy) {
      refusals.record(nowMs);
    }
  }
}
