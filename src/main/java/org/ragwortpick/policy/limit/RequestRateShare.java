package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Share of the local VM in the request rates that upstreams take from all VMs together. The first
 * VMs of an order on which all agree may send, each at its part of the rate, so that the sum holds
 * without messages between the VMs. Confined to one thread.
 *
 * <p>The share is computed for each request and not leased, so that a VM that resumes from a
 * suspension cannot use a stale one.
 */
public final class RequestRateShare {

  private static final double MS_PER_SECOND = 1_000.0;

  /** Permits of a process that does not know what its predecessor has sent. */
  private static final double FIRST_PERMITS = 1;

  /** Time after which the permits of an upstream that got no request are forgotten. */
  private static final long RETENTION_MS = 60_000;

  private final Clock clock;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /**
   * Creates the share of the local VM.
   *
   * @param clock monotonic clock
   */
  public RequestRateShare(Clock clock) {
    this.clock = clock;
  }

  /**
   * Returns whether a permit could be taken now, without taking it.
   *
   * @param upstreamId id of the upstream
   * @param rate division of the rate
   * @param rank rank of the local VM among those that send
   * @return whether the local VM may send a request
   */
  public boolean isAvailable(String upstreamId, DividedRate rate, SenderRank rank) {
    return rate.hasPart(rank) && permits(upstreamId, rate) >= 1;
  }

  /**
   * Takes a permit to send one request.
   *
   * @param upstreamId id of the upstream
   * @param rate division of the rate
   * @param rank rank of the local VM among those that send
   * @return whether the local VM may send a request now
   */
  public boolean tryTake(String upstreamId, DividedRate rate, SenderRank rank) {
    if (!isAvailable(upstreamId, rate, rank)) {
      return false;
    }
    buckets.put(upstreamId, new Bucket(permits(upstreamId, rate) - 1, clock.millis()));
    buckets.values().removeIf(bucket -> clock.millis() - bucket.atMs > RETENTION_MS);
    return true;
  }

  private double permits(String upstreamId, DividedRate rate) {
    Bucket bucket =
        buckets.computeIfAbsent(upstreamId, id -> new Bucket(FIRST_PERMITS, clock.millis()));
    double earned = (clock.millis() - bucket.atMs) * rate.requestsPerSecond() / MS_PER_SECOND;
    return Math.min(rate.burst(), bucket.permits + earned);
  }

  /**
   * Permits at a moment; more are earned from then on.
   *
   * @param permits number of permits
   * @param atMs monotonic time
   */
  private record Bucket(double permits, long atMs) {}
}
