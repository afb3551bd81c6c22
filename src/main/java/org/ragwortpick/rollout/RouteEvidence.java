package org.ragwortpick.rollout;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Responses of both versions on one route, compared at the same time: load and faults that slow
 * down both versions say nothing about the new one.
 */
final class RouteEvidence {

  /** Time for which responses of the old version count as recent. */
  private static final long RECENT_MS = 15_000;

  /** Responses of the old version from which its usual time is known. */
  private static final long MIN_TIMED = 30;

  private static final double USUAL_QUANTILE = 0.9;

  /** Two buckets, a factor of 1.4 to 1.7, above the usual quantile. */
  private static final int SLOW_BUCKETS = 2;

  /**
   * Quantile that shows how fast the machines of a version are: a version that is bad in a part of
   * its responses hardly moves it.
   */
  private static final double MACHINE_QUANTILE = 0.2;

  /** Three buckets, a factor of 1.7, by which the machines of two versions may differ. */
  private static final int MAX_MACHINE_BUCKETS = 3;

  /** Five buckets, a factor of 2.4, between the medians of a version that is slow as a whole. */
  private static final int FAR_SLOWER_BUCKETS = 5;

  /** Responses of the new version from which its quantiles are known. */
  private static final long MIN_NEW_TIMED = 25;

  /** Rates below these are not told apart from zero. */
  private static final double MIN_FAILURE_RATE = 0.01;

  private static final double MIN_SLOW_RATE = 0.06;

  /** Factor of the usual rate that chance and uneven upstreams may cause. */
  private static final double TOLERATED_FACTOR = 2;

  private final VersionCounts oldTotal = new VersionCounts();
  private final VersionCounts newTotal = new VersionCounts();
  private final VersionCounts oldRecent = new VersionCounts();
  private final Deque<Step> recent = new ArrayDeque<>();
  private final ChangeDetector failures = new ChangeDetector(0.05, 0.2, 0.6);
  private final ChangeDetector slowness = new ChangeDetector(0.2, 0.5, 0.9);
  private VersionCounts newSinceStep = new VersionCounts();
  private VersionCounts oldSinceStep = new VersionCounts();
  private long slow;
  private Step lastStep = new Step(0, new VersionCounts(), 0, 0, 0, 0);

  /**
   * Adds responses.
   *
   * @param oldVersion responses of the old version
   * @param newVersion responses of the new version
   */
  void add(VersionCounts oldVersion, VersionCounts newVersion) {
    oldSinceStep.add(oldVersion, 1);
    newSinceStep.add(newVersion, 1);
  }

  /**
   * Compares the responses that were added since the last step.
   *
   * @param nowMs time in milliseconds
   */
  void step(long nowMs) {
    VersionCounts received = newSinceStep;
    oldTotal.add(oldSinceStep, 1);
    oldRecent.add(oldSinceStep, 1);
    while (!recent.isEmpty() && recent.getFirst().atMs() < nowMs - RECENT_MS) {
      oldRecent.add(recent.removeFirst().oldVersion(), -1);
    }
    newTotal.add(received, 1);
    int slowFrom = slowBucket();
    boolean timesKnown = oldTotal.timed() >= MIN_TIMED;
    long slowNow = timesKnown ? received.above(slowFrom) : 0;
    long timedNow = timesKnown ? received.timed() : 0;
    slow += slowNow;
    lastStep =
        new Step(nowMs, oldSinceStep, received.responses(), received.failures(), timedNow, slowNow);
    recent.addLast(lastStep);
    oldSinceStep = new VersionCounts();
    newSinceStep = new VersionCounts();
    failures.add(lastStep.responses(), lastStep.failures(), usualFailureRate());
    slowness.add(timedNow, slowNow, usualSlowRate());
  }

  private int slowBucket() {
    int usual = oldTotal.quantile(USUAL_QUANTILE);
    int usualNow = oldRecent.timed() >= MIN_TIMED ? oldRecent.quantile(USUAL_QUANTILE) : usual;
    return Math.max(usual, usualNow) + SLOW_BUCKETS + machineBuckets();
  }

  private int machineBuckets() {
    if (newTotal.timed() < MIN_NEW_TIMED) {
      return 0;
    }
    int difference = newTotal.quantile(MACHINE_QUANTILE) - oldTotal.quantile(MACHINE_QUANTILE);
    // One bucket is within the error of the quantiles, and of a part of slow responses in them.
    return Math.max(0, Math.min(MAX_MACHINE_BUCKETS, difference - 1));
  }

  /**
   * Returns whether the new version is several times slower as a whole.
   *
   * @return whether its median is far above the one of the old version
   */
  boolean isFarSlower() {
    int usual = Math.max(oldTotal.quantile(0.5), oldRecent.quantile(0.5));
    return oldTotal.timed() >= MIN_TIMED
        && newTotal.timed() >= MIN_NEW_TIMED
        && newTotal.quantile(0.5) - usual >= FAR_SLOWER_BUCKETS;
  }

  /**
   * Returns the rate of failures that the new version may have.
   *
   * @return rate, above the one of the old version
   */
  double usualFailureRate() {
    return Math.max(
        MIN_FAILURE_RATE,
        TOLERATED_FACTOR
            * Math.max(
                rate(oldTotal.failures(), oldTotal.responses()),
                rate(oldRecent.failures(), oldRecent.responses())));
  }

  /**
   * Returns the rate of slow responses that the new version may have.
   *
   * @return rate, above the one of the old version
   */
  double usualSlowRate() {
    int bucket = slowBucket();
    return Math.max(
        MIN_SLOW_RATE,
        TOLERATED_FACTOR
            * Math.max(
                rate(oldTotal.above(bucket), oldTotal.timed()),
                rate(oldRecent.above(bucket), oldRecent.timed())));
  }

  /** A rate of few responses is taken as higher than it looks. */
  private static double rate(long bad, long responses) {
    return Math.min(0.5, (bad + 0.5) / (responses + 25.0));
  }

  /**
   * Returns the comparison of the last step, for sums over all routes.
   *
   * @return the step
   */
  Step lastStep() {
    return lastStep;
  }

  /**
   * Returns the strongest evidence against the new version.
   *
   * @return log likelihood ratio
   */
  double evidence() {
    return Math.max(failures.evidence(), slowness.evidence());
  }

  /**
   * Returns the number of responses of the new version.
   *
   * @return the number
   */
  long newResponses() {
    return newTotal.responses();
  }

  /**
   * Returns the number of responses of the old version.
   *
   * @return the number
   */
  long oldResponses() {
    return oldTotal.responses();
  }

  /**
   * Returns the number of failures of the new version.
   *
   * @return the number
   */
  long newFailures() {
    return newTotal.failures();
  }

  /**
   * Returns the number of slow responses of the new version.
   *
   * @return the number
   */
  long newSlow() {
    return slow;
  }

  /**
   * Responses of one step.
   *
   * @param atMs time of the step in milliseconds
   * @param oldVersion responses of the old version
   * @param responses responses of the new version
   * @param failures failures of the new version
   * @param timed responses of the new version whose time was compared
   * @param slow slow ones among these
   */
  record Step(
      long atMs, VersionCounts oldVersion, long responses, long failures, long timed, long slow) {}
}
