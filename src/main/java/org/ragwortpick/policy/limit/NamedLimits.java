package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.UpstreamLimitTable;

/**
 * Request rates that upstreams named in their responses, and the part of the local VM in them.
 * Confined to one thread.
 *
 * <p>A limit holds for one start of an upstream, on all VMs, until a response no longer names it. A
 * VM with a part of a limit sends to the upstream before it asks others if it has not done so for a
 * while, so the end of a limit is noticed and no limit needs to expire.
 */
public final class NamedLimits {

  private static final Logger LOG = Logger.getLogger(NamedLimits.class);

  /** Rate at which an upstream that names a lower one, or zero, is still asked. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final double MS_PER_SECOND = 1_000.0;

  /** Time without a request of the local VM after which a limited upstream goes before others. */
  private static final long OVERDUE_AFTER_MS = 2_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final UpstreamLimitTable table;
  private final RequestRateShare share;
  private final Function<Upstream, SenderRank> rank;
  private final Clock clock;
  private final Map<String, Learned> learned = new HashMap<>();
  private final Map<String, Long> lastTakenAtMs = new HashMap<>();

  /**
   * Creates an instance.
   *
   * @param table limits that all VMs share
   * @param share share of the local VM in request rates
   * @param rank rank of the local VM among those that send to an upstream
   * @param clock monotonic clock
   */
  public NamedLimits(
      UpstreamLimitTable table,
      RequestRateShare share,
      Function<Upstream, SenderRank> rank,
      Clock clock) {
    this.table = table;
    this.share = share;
    this.rank = rank;
    this.clock = clock;
  }

  /**
   * Records what a response of an upstream states. A response to a request that was sent before the
   * last change became known may be older than that change, so it can only lower the rate.
   *
   * @param upstream record of the upstream that responded
   * @param requestsPerSecond rate that the response names; {@link UpstreamLimit#NONE} if it names
   *     none
   * @param sentAtMs monotonic time at which the request was sent
   */
  public void record(Upstream upstream, double requestsPerSecond, long sentAtMs) {
    Optional<UpstreamLimit> known = table.find(upstream.id());
    if (known.isPresent() && known.get().incarnation() > upstream.incarnation()) {
      return;
    }
    Optional<UpstreamLimit> current =
        known.filter(limit -> limit.incarnation() == upstream.incarnation());
    double knownRate = current.map(UpstreamLimit::requestsPerSecond).orElse(UpstreamLimit.NONE);
    boolean mayBeOlder = current.isPresent() && sentAtMs <= learnedAtMs(current.get());
    if (requestsPerSecond == knownRate || (mayBeOlder && requestsPerSecond > knownRate)) {
      return;
    }
    UpstreamLimit changed =
        new UpstreamLimit(
            upstream.id(),
            upstream.incarnation(),
            requestsPerSecond,
            current.map(limit -> limit.version() + 1).orElse(1L));
    table.add(changed);
    DecisionLine.of(changed.isInForce() ? "upstream names a limit" : "limit of upstream ended")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("incarnation", upstream.incarnation())
        .with("requestsPerSecond", requestsPerSecond)
        .with("before", knownRate)
        .with("beforeAgeMs", current.map(this::ageMs).orElse(0L))
        .info(LOG);
  }

  /** Time at which the local VM first saw a record, at the latest when it considered to send. */
  private long learnedAtMs(UpstreamLimit limit) {
    Learned known = learned.get(limit.upstreamId());
    if (known == null || !known.limit().equals(limit)) {
      known = new Learned(limit, clock.millis());
      learned.put(limit.upstreamId(), known);
    }
    return known.atMs();
  }

  private long ageMs(UpstreamLimit limit) {
    return clock.millis() - learnedAtMs(limit);
  }

  private Optional<UpstreamLimit> limitOf(Upstream upstream) {
    Optional<UpstreamLimit> limit =
        table.find(upstream.id()).filter(known -> known.incarnation() == upstream.incarnation());
    limit.ifPresent(this::learnedAtMs);
    return limit.filter(UpstreamLimit::isInForce);
  }

  /**
   * Returns whether an upstream names a limit.
   *
   * @param upstream the upstream
   * @return whether it does so in its present start
   */
  public boolean isLimited(Upstream upstream) {
    return limitOf(upstream).isPresent();
  }

  /**
   * Returns whether the local VM may ever send to an upstream while its limit lasts.
   *
   * @param upstream the upstream
   * @return whether it is not limited, or the local VM has a part of the limit
   */
  public boolean hasPart(Upstream upstream) {
    return ownRequestsPerSecond(upstream) > 0;
  }

  /**
   * Returns the rate at which the local VM may send to an upstream.
   *
   * @param upstream the upstream
   * @return requests per second; {@link UpstreamLimit#NONE} if it is not limited, 0 if the local VM
   *     has no part of the limit
   */
  public double ownRequestsPerSecond(Upstream upstream) {
    return limitOf(upstream)
        .map(
            limit -> {
              SenderRank own = rank.apply(upstream);
              DividedRate division = division(limit, own);
              return division.hasPart(own) ? division.requestsPerSecond() : 0;
            })
        .orElse(UpstreamLimit.NONE);
  }

  /**
   * Returns whether a request may be sent to an upstream now, without taking the permit.
   *
   * @param upstream the upstream
   * @return whether it is not limited, or the local VM has a permit left
   */
  public boolean isAvailable(Upstream upstream) {
    return isPermitted(upstream, share::isAvailable);
  }

  /**
   * Returns whether a limited upstream should get the next request of the local VM. Otherwise a VM
   * that prefers others would never learn that the limit has ended.
   *
   * @param upstream the upstream
   * @return whether the local VM has a permit that it has not used for a while
   */
  public boolean isOverdue(Upstream upstream) {
    return limitOf(upstream)
        .filter(limit -> ageMs(limit) >= OVERDUE_AFTER_MS && isAvailable(upstream))
        .map(limit -> clock.millis() - lastTakenAtMs.getOrDefault(upstream.id(), NEVER_MS))
        .filter(sinceMs -> sinceMs >= OVERDUE_AFTER_MS)
        .isPresent();
  }

  /**
   * Takes the permit to send one request, immediately before its first byte.
   *
   * @param upstream the upstream
   * @return whether the request may be sent
   */
  public boolean tryTake(Upstream upstream) {
    boolean taken = isPermitted(upstream, share::tryTake);
    if (taken && isLimited(upstream)) {
      lastTakenAtMs.put(upstream.id(), clock.millis());
    }
    return taken;
  }

  private boolean isPermitted(Upstream upstream, PermitCheck check) {
    return limitOf(upstream)
        .map(
            limit -> {
              SenderRank own = rank.apply(upstream);
              return check.test(upstream.id(), division(limit, own), own);
            })
        .orElse(true);
  }

  /**
   * Returns the time in which limited upstreams together take one more request.
   *
   * @param upstreams upstreams of one service
   * @return time in milliseconds; 0 if one of them is not limited, or there are none
   */
  public long intervalMs(List<Upstream> upstreams) {
    double sum =
        upstreams.stream()
            .mapToDouble(
                upstream -> limitOf(upstream).map(NamedLimits::rate).orElse(UpstreamLimit.NONE))
            .sum();
    return sum == 0 ? 0 : (long) (MS_PER_SECOND / sum);
  }

  private static DividedRate division(UpstreamLimit limit, SenderRank own) {
    return DividedRate.ofNamedLimit(rate(limit), own.vms());
  }

  private static double rate(UpstreamLimit limit) {
    return Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond());
  }

  /**
   * Returns the number of upstreams that name a limit.
   *
   * @return number of upstreams of which the local VM knows a limit
   */
  public int count() {
    return (int) table.all().stream().filter(UpstreamLimit::isInForce).count();
  }

  /** Drops the times of limits whose records are gone. */
  public void expire() {
    learned.keySet().removeIf(id -> table.find(id).isEmpty());
    lastTakenAtMs.keySet().removeIf(id -> table.find(id).isEmpty());
  }

  /** Looks at the permits of a limited upstream, or takes one. */
  private interface PermitCheck {
    boolean test(String upstreamId, DividedRate rate, SenderRank own);
  }

  private record Learned(UpstreamLimit limit, long atMs) {}
}
