package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.Upstream;

/**
 * Pauses that upstreams requested from the local VM when they refused a request. Thread-safe.
 *
 * <p>A pause holds for one incarnation and for all ways by which the VM reaches the upstream. It is
 * no failure of the upstream.
 */
public final class RequestedPauses {

  private static final Logger LOG = Logger.getLogger(RequestedPauses.class);

  /** Limit of one pause, so that an absurd value does not exclude an upstream for good. */
  private static final long MAX_PAUSE_MS = 60_000;

  /** Largest random extension of a pause, as a fraction of it. */
  private static final double MAX_SPREAD_FRACTION = 0.25;

  /** Largest random extension of a pause; the pauses of many VMs may end in one instant. */
  private static final long MAX_SPREAD_MS = 500;

  private final Clock clock;
  private final RandomGenerator random;
  private final Map<String, Pause> pauses = new HashMap<>();

  /**
   * Creates an instance without pauses.
   *
   * @param clock monotonic clock
   * @param random source of the extensions
   */
  public RequestedPauses(Clock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  /**
   * Records a pause. A pause that ends before the current one has no effect.
   *
   * @param upstream record of the upstream to which the refused request was sent
   * @param requestedMs duration of the pause in milliseconds
   */
  public synchronized void record(Upstream upstream, long requestedMs) {
    long nowMs = clock.millis();
    long durationMs = Math.min(requestedMs, MAX_PAUSE_MS);
    if (nowMs + durationMs <= untilMs(upstream)) {
      return;
    }
    boolean begins = !isPaused(upstream);
    pauses.put(
        upstream.id(),
        new Pause(upstream.incarnation(), nowMs + durationMs + spreadMs(durationMs)));
    if (begins) {
      DecisionLine.of("upstream paused, it requested a pause in a response")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("requestedMs", requestedMs)
          .with("pausedMs", untilMs(upstream) - nowMs)
          .info(LOG);
    }
  }

  private long spreadMs(long durationMs) {
    double maxMs = Math.min(MAX_SPREAD_MS, MAX_SPREAD_FRACTION * durationMs);
    return (long) (random.nextDouble() * maxMs);
  }

  /**
   * Returns the end of the pause of an upstream.
   *
   * @param upstream the upstream
   * @return monotonic time in milliseconds; {@link Long#MIN_VALUE} if it requested none
   */
  public synchronized long untilMs(Upstream upstream) {
    Pause pause = pauses.get(upstream.id());
    return pause != null && pause.incarnation() == upstream.incarnation()
        ? pause.untilMs()
        : Long.MIN_VALUE;
  }

  /**
   * Returns whether an upstream is paused.
   *
   * @param upstream the upstream
   * @return whether it must get no requests now
   */
  public synchronized boolean isPaused(Upstream upstream) {
    return clock.millis() < untilMs(upstream);
  }

  /**
   * Returns the time until the first of several upstreams may get requests.
   *
   * @param upstreams upstreams of one service
   * @return time in milliseconds; 0 if one of them is not paused, or there are none
   */
  public synchronized long remainingMs(List<Upstream> upstreams) {
    long firstUntilMs = upstreams.stream().mapToLong(this::untilMs).min().orElse(Long.MIN_VALUE);
    return firstUntilMs == Long.MIN_VALUE ? 0 : Math.max(0, firstUntilMs - clock.millis());
  }

  /**
   * Returns the number of upstreams that are paused.
   *
   * @return number of upstreams
   */
  public synchronized int count() {
    long nowMs = clock.millis();
    return (int) pauses.values().stream().filter(pause -> nowMs < pause.untilMs()).count();
  }

  /** Drops the pauses that have ended. */
  public synchronized void expire() {
    long nowMs = clock.millis();
    pauses.values().removeIf(pause -> nowMs >= pause.untilMs());
  }

  private record Pause(long incarnation, long untilMs) {}
}
