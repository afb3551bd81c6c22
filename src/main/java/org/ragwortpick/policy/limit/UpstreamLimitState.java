package org.ragwortpick.policy.limit;

import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.sync.Upstream;

/**
 * Requests in flight, limit, load and recent failures of one upstream, as observed by the local VM.
 * Thread-safe.
 */
final class UpstreamLimitState {

  /**
   * Reported loads are smoothed over about ten reports and count half. Without smoothing, all VMs
   * move at once to the upstream that was reported idle a second ago: the requests that met their
   * deadline fell from 100% to 97% at a load of 70%.
   */
  private static final double REPORT_SMOOTHING_FACTOR = 0.1;

  private static final double OTHER_VMS_WEIGHT = 0.5;

  private static final int FAILURES_BEFORE_EJECTION = 2;
  private static final long MIN_BACKOFF_MS = 1_000;
  private static final long MAX_BACKOFF_MS = 16_000;

  /** A refusal while a smaller part of the slots is in use is not explained by load. */
  private static final double BUSY_FRACTION = 0.8;

  private final String service;
  private final ConcurrencyLimit limit = new ConcurrencyLimit();
  private final LatencyBaseline latency = new LatencyBaseline();
  private int slots = -1;
  private long incarnation;
  private long reportSequence;
  private int inFlight;
  private int sentSinceReport;
  private int reportedLoad;
  private double otherVmsLoad = -1;
  private int consecutiveFailures;
  private boolean ejected;
  private boolean probeInFlight;
  private long probeAtMs;
  private long backoffMs = MIN_BACKOFF_MS;
  private final RecentEvents refusals = new RecentEvents();
  private final RecentEvents timeouts = new RecentEvents();
  private long lastUsedAtMs;

  /**
   * Creates the state of an unused upstream.
   *
   * @param service service of the upstream
   */
  UpstreamLimitState(String service) {
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
   * Applies a record of the upstream. A new incarnation resets ejection and latency; an outdated
   * record changes no load.
   *
   * @param upstream the record
   * @param entryVms number of entry VMs
   * @param nowMs current time
   */
  synchronized void update(Upstream upstream, int entryVms, long nowMs) {
    lastUsedAtMs = nowMs;
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
      consecutiveFailures = 0;
      backoffMs = MIN_BACKOFF_MS;
    }
    if (upstream.incarnation() >= incarnation
        && (restarted || upstream.sequence() > reportSequence)) {
      incarnation = upstream.incarnation();
      reportSequence = upstream.sequence();
      sentSinceReport = 0;
      reportedLoad = upstream.load();
      if (reportedLoad > slots) {
        limit.decreaseTowardsEqualShare();
      }
      double reportedOtherVmsLoad = Math.max(0, upstream.load() - inFlight);
      otherVmsLoad =
          otherVmsLoad < 0 || restarted
              ? reportedOtherVmsLoad
              : otherVmsLoad + (reportedOtherVmsLoad - otherVmsLoad) * REPORT_SMOOTHING_FACTOR;
    }
  }

  /**
   * Acquires a slot.
   *
   * @param nowMs current time
   * @return true if the request may be sent
   */
  synchronized boolean tryAcquire(long nowMs) {
    if (!isAvailable(nowMs)) {
      return false;
    }
    probeInFlight = ejected;
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
    return ejected ? !probeInFlight && nowMs >= probeAtMs : inFlight < limit.value();
  }

  /**
   * Releases a slot and records how the attempt ended.
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
      case FAILED -> consecutiveFailures++;
      case TIMED_OUT -> {
        consecutiveFailures++;
        limit.decrease(nowMs);
        timeouts.record(nowMs);
      }
      default -> {
        // A cancelled attempt is no evidence about the upstream.
      }
    }
    inFlight = Math.max(0, inFlight - 1);
    boolean failedProbe = ejected && result != AttemptResult.SUCCESS;
    if (failedProbe && probeInFlight) {
      probeInFlight = false;
      // A cancelled probe is no evidence, so that the next probe may be sent at once.
      if (result != AttemptResult.CANCELLED) {
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        probeAtMs = nowMs + backoffMs;
      }
    }
    return !ejected && consecutiveFailures >= FAILURES_BEFORE_EJECTION;
  }

  /**
   * Ejects the upstream until a probe succeeds.
   *
   * @param nowMs current time
   */
  synchronized void eject(long nowMs) {
    ejected = true;
    probeInFlight = false;
    probeAtMs = nowMs + backoffMs;
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
   * Tells whether the upstream is far slower than its baseline: first bytes are late or missing.
   *
   * @param nowMs current time
   * @return true if its baseline is exceeded or if attempts timed out
   */
  synchronized boolean isSlow(long nowMs) {
    return latency.isExceeded() || timeouts.isThresholdReached(nowMs);
  }

  /**
   * Tells whether refusals without load indicate a cold start.
   *
   * @param nowMs current time
   * @return true after enough recent refusals
   */
  synchronized boolean refusesWithoutLoad(long nowMs) {
    return refusals.isThresholdReached(nowMs);
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
    return inFlight + OTHER_VMS_WEIGHT * Math.max(0, otherVmsLoad);
  }

  /**
   * Returns the time of the last {@link #update}.
   *
   * @return time in milliseconds
   */
  synchronized long lastUsedAtMs() {
    return lastUsedAtMs;
  }

  private void recordSuccess() {
    limit.increase(inFlight, reportedLoad < slots);
    consecutiveFailures = 0;
    ejected = false;
    probeInFlight = false;
    backoffMs = MIN_BACKOFF_MS;
  }

  private void recordRefusal(Upstream upstream, long nowMs) {
    boolean busy = upstream.load() + sentSinceReport >= BUSY_FRACTION * Math.max(1, slots);
    if (!busy) {
      refusals.record(nowMs);
    }
  }
}
