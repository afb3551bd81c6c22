package org.ragwortpick.standin;

import java.time.Clock;

/**
 * Places of one upstream. In cold start it bears few requests; one more makes it fall over: it
 * refuses everything for a while and its cold start begins again.
 */
final class ColdStart {

  private static final long FALL_OVER_MS = 1_000;

  /** A warm upstream queues up to this multiple of its slots and refuses the rest. */
  private static final int QUEUE_FACTOR = 4;

  private final Clock clock;
  private final int slots;
  private final int coldLimit;
  private final long coldMs;

  private long coldUntilMs;
  private long refuseUntilMs;
  private int inFlight;
  private int peakColdInFlight;
  private int overloads;
  private int refusals;

  /**
   * Creates the places of an upstream that has just started.
   *
   * @param clock monotonic clock
   * @param spec the upstream
   */
  ColdStart(Clock clock, UpstreamSpec spec) {
    this.clock = clock;
    this.slots = spec.slots();
    this.coldLimit = spec.coldLimit();
    this.coldMs = spec.coldMs();
    this.coldUntilMs = clock.millis() + coldMs;
  }

  /**
   * Takes a place.
   *
   * @return false if the request is refused
   */
  synchronized boolean enter() {
    long nowMs = clock.millis();
    if (nowMs < refuseUntilMs) {
      refusals++;
      return false;
    }
    if (nowMs < coldUntilMs) {
      peakColdInFlight = Math.max(peakColdInFlight, inFlight + 1);
      if (inFlight >= coldLimit) {
        overloads++;
        refuseUntilMs = nowMs + FALL_OVER_MS;
        coldUntilMs = refuseUntilMs + coldMs;
        return false;
      }
    } else if (inFlight >= slots * QUEUE_FACTOR) {
      refusals++;
      return false;
    }
    inFlight++;
    return true;
  }

  /** Gives a place back. */
  synchronized void leave() {
    inFlight--;
  }

  /** Begins a new cold start without notice. */
  synchronized void turnCold() {
    coldUntilMs = clock.millis() + coldMs;
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
   * Returns the most requests that were put on the upstream at once in cold start.
   *
   * @return highest number of requests, the refused one included
   */
  synchronized int peakColdInFlight() {
    return peakColdInFlight;
  }

  /**
   * Returns how often the upstream fell over.
   *
   * @return number of overloads
   */
  synchronized int overloads() {
    return overloads;
  }

  /**
   * Returns how many requests were refused.
   *
   * @return number of refusals, those by overload not included
   */
  synchronized int refusals() {
    return refusals;
  }
}
