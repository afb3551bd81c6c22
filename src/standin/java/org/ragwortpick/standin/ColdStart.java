package org.ragwortpick.standin;

import java.time.Clock;

/**
 * Slots and cold start of one simulated upstream. A request above the cold limit overloads an
 * upstream in cold start: it refuses every request for a while, then its cold start begins again.
 */
final class ColdStart {

  /** Time in milliseconds during which an overloaded upstream refuses every request. */
  private static final long OVERLOAD_REFUSAL_MS = 1_000;

  /** A warm upstream runs or queues up to this multiple of its slots and refuses the rest. */
  private static final int MAX_IN_FLIGHT_PER_SLOT = 4;

  private final Clock clock;
  private final int slots;
  private final int coldLimit;
  private final long coldDurationMs;

  private long coldUntilMs;
  private long refusingUntilMs;
  private int inFlight;
  private int peakColdInFlight;
  private int overloads;
  private int refusals;

  /**
   * Creates the state of an upstream that has just started, at the beginning of its cold start.
   *
   * @param clock monotonic clock
   * @param spec slots, cold limit and duration of the cold start
   */
  ColdStart(Clock clock, UpstreamSpec spec) {
    this.clock = clock;
    this.slots = spec.slots();
    this.coldLimit = spec.coldLimit();
    this.coldDurationMs = spec.coldMs();
    this.coldUntilMs = clock.millis() + coldDurationMs;
  }

  /**
   * Admits a request to a slot or to the queue.
   *
   * @return false if the request is refused
   */
  synchronized boolean tryAcquireSlot() {
    long nowMs = clock.millis();
    if (nowMs < refusingUntilMs) {
      refusals++;
      return false;
    }
    if (nowMs < coldUntilMs) {
      peakColdInFlight = Math.max(peakColdInFlight, inFlight + 1);
      if (inFlight >= coldLimit) {
        overloads++;
        refusingUntilMs = nowMs + OVERLOAD_REFUSAL_MS;
        coldUntilMs = refusingUntilMs + coldDurationMs;
        return false;
      }
    } else if (inFlight >= slots * MAX_IN_FLIGHT_PER_SLOT) {
      refusals++;
      return false;
    }
    inFlight++;
    return true;
  }

  /** Releases what an admitted request acquired. */
  synchronized void releaseSlot() {
    inFlight--;
  }

  /** Begins a new cold start and resets the peak load. */
  synchronized void restartColdStart() {
    coldUntilMs = clock.millis() + coldDurationMs;
    peakColdInFlight = 0;
  }

  /**
   * Tells whether the upstream is in cold start.
   *
   * @return true in cold start
   */
  synchronized boolean isCold() {
    return clock.millis() < coldUntilMs;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return requests in flight
   */
  synchronized int inFlight() {
    return inFlight;
  }

  /**
   * Returns the highest number of concurrent requests sent to the upstream in cold start.
   *
   * @return number of requests, including one that was refused
   */
  synchronized int peakColdInFlight() {
    return peakColdInFlight;
  }

  /**
   * Returns how often a request exceeded the cold limit.
   *
   * @return number of overloads
   */
  synchronized int overloads() {
    return overloads;
  }

  /**
   * Returns how many requests were refused.
   *
   * @return number of refusals, not counting those that caused an overload
   */
  synchronized int refusals() {
    return refusals;
  }
}
