package org.ragwortpick.sync.allowance;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Service;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.Stamp;
import org.ragwortpick.sync.directory.WarmFlags;

/**
 * Divides the requests that cold upstreams can run among the VMs, and decides which upstreams are
 * warm. Used on the leader only.
 *
 * <p>A grant is drained once no request under it can be in flight. The sum of the grants that are
 * not drained never exceeds the total of an upstream. Durations that another VM measures are
 * extended by the greatest possible drift between the clocks.
 */
public final class AllowanceCoordinator {

  /** Ramp step of a service that configures none. */
  private static final long DEFAULT_RAMP_STEP_MS = 2_000;

  /** Time after the reset of a warm flag until no request sent under it can be in flight. */
  private static final long WARM_FLAG_DRAIN_MS =
      SyncTimings.maxLocalMs(SyncTimings.CONFIG_LEASE_MS)
          + SyncTimings.maxLocalMs(SyncTimings.MAX_STAGE_MS);

  /**
   * Time after which no request under a lease or a warm flag of the previous leader is in flight.
   * The configuration lease, which bounds the use of warm flags, is longer than an allowance lease.
   */
  private static final long PREVIOUS_LEADER_DRAIN_MS =
      SyncTimings.maxLocalMs(SyncTimings.LEADER_LEASE_MS) + WARM_FLAG_DRAIN_MS;

  private final Clock clock;
  private final SoftTable table;
  private final WarmFlags warmFlags;
  private final Supplier<Stamp> stamps;
  private final Map<String, Ramp> ramps = new HashMap<>();
  private long grantsFromMs = Long.MAX_VALUE;

  /**
   * Creates a coordinator that grants nothing before {@link #startTerm}.
   *
   * @param clock monotonic clock
   * @param table table that distributes the warm flags
   * @param warmFlags warm upstreams
   * @param stamps source of stamps of the leader's term
   */
  public AllowanceCoordinator(
      Clock clock, SoftTable table, WarmFlags warmFlags, Supplier<Stamp> stamps) {
    this.clock = clock;
    this.table = table;
    this.warmFlags = warmFlags;
    this.stamps = stamps;
  }

  /**
   * Starts a term of the local VM as the leader. Nothing is granted until all leases and warm flags
   * of the previous leader have expired.
   */
  public synchronized void startTerm() {
    ramps.clear();
    grantsFromMs = clock.millis() + PREVIOUS_LEADER_DRAIN_MS;
  }

  /**
   * Advances the ramps of all upstreams.
   *
   * @param configuration committed configuration
   */
  public synchronized void tick(Configuration configuration) {
    long nowMs = clock.millis();
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfUpstream entry) {
        advance(entry.upstream(), configuration, nowMs);
      }
    }
    ramps
        .entrySet()
        .removeIf(
            entry ->
                table.find(SoftRecord.OfUpstream.keyOf(entry.getKey())).isEmpty()
                    && entry.getValue().outstanding(nowMs) == 0);
  }

  private void advance(Upstream upstream, Configuration configuration, long nowMs) {
    Ramp ramp = rampOf(upstream, nowMs);
    boolean takenOut = configuration.stateOf(upstream.dataCentre()) == DataCentreState.OUT;
    boolean cold = upstream.state() == UpstreamState.COLD || upstream.state() == UpstreamState.LOST;
    if (cold || takenOut) {
      if (ramp.isWarm()) {
        restart(upstream, ramp, nowMs);
      }
      ramp.holdAtColdLimit(upstream.coldLimit(), nowMs);
      return;
    }
    long stepMs =
        configuration
            .service(upstream.service())
            .map(Service::rampStepMs)
            .filter(ms -> ms > 0)
            .orElse(DEFAULT_RAMP_STEP_MS);
    if (upstream.state() == UpstreamState.READY && ramp.advance(upstream.slots(), stepMs, nowMs)) {
      setWarmFlag(upstream, true);
    }
  }

  private Ramp rampOf(Upstream upstream, long nowMs) {
    Ramp existing = ramps.get(upstream.id());
    if (existing != null && existing.incarnation() >= upstream.incarnation()) {
      return existing;
    }
    Ramp ramp = new Ramp(upstream.incarnation(), existing);
    ramps.put(upstream.id(), ramp);
    ramp.restart(upstream.coldLimit(), Math.max(nowMs, grantsFromMs));
    if (warmFlags.isSet(upstream.id(), upstream.incarnation())) {
      ramp.restoreWarm();
      return ramp;
    }
    if (warmFlags.isSetForAnyIncarnation(upstream.id())) {
      // VMs that have not received the new incarnation still treat the upstream as warm.
      ramp.restart(upstream.coldLimit(), nowMs + WARM_FLAG_DRAIN_MS);
    }
    // Another VM may have a flag of the previous leader that this one did not receive.
    setWarmFlag(upstream, false);
    return ramp;
  }

  private void restart(Upstream upstream, Ramp ramp, long nowMs) {
    ramp.restart(upstream.coldLimit(), ramp.isWarm() ? nowMs + WARM_FLAG_DRAIN_MS : nowMs);
    setWarmFlag(upstream, false);
  }

  private void setWarmFlag(Upstream upstream, boolean warm) {
    table.mergeFromSource(
        new SoftRecord.Flag(
            SoftRecord.Flag.Kind.UPSTREAM_WARM,
            upstream.id(),
            upstream.incarnation(),
            stamps.get(),
            warm));
  }

  /**
   * Processes a demand and grants a share of the total if one is free.
   *
   * @param demand demand and report of a VM
   * @param mayGrant whether the quorum confirmation is younger than the leader lease
   * @return the grant, or empty if nothing is granted
   */
  public synchronized Optional<Grant> handleDemand(Demand demand, boolean mayGrant) {
    Optional<Upstream> found =
        table
            .find(SoftRecord.OfUpstream.keyOf(demand.upstream()))
            .map(record -> ((SoftRecord.OfUpstream) record).upstream())
            .filter(upstream -> upstream.incarnation() == demand.upstreamIncarnation());
    if (found.isEmpty()) {
      return Optional.empty();
    }
    long nowMs = clock.millis();
    Ramp ramp = rampOf(found.get(), nowMs);
    if (ramp.incarnation() != demand.upstreamIncarnation()) {
      return Optional.empty();
    }
    if (needsRestart(demand, ramp)) {
      restart(found.get(), ramp, nowMs);
    }
    OptionalInt amount = ramp.applyDemand(demand, nowMs);
    if (amount.isEmpty() || !mayGrant || nowMs < grantsFromMs) {
      return Optional.empty();
    }
    Stamp stamp = stamps.get();
    ramp.addGrant(demand, amount.getAsInt(), stamp, nowMs);
    return Optional.of(
        new Grant(
            demand.holder(),
            demand.holderIncarnation(),
            demand.sentAtMs(),
            demand.upstream(),
            demand.upstreamIncarnation(),
            amount.getAsInt(),
            stamp));
  }

  private boolean needsRestart(Demand demand, Ramp ramp) {
    Stamp newestFlag = warmFlags.stampOf(demand.upstream());
    if (demand.suspected()) {
      // The last restart already settled a suspicion that is older than it.
      return ramp.isWarm() || demand.warmFlag().compareTo(newestFlag) >= 0;
    }
    // The previous leader restarted the ramp, but its flag reached the demanding VM only.
    return ramp.isWarm() && demand.warmFlag().compareTo(newestFlag) > 0;
  }

  /**
   * Returns the number of requests that an upstream can run at once now.
   *
   * @param upstream identity of the upstream
   * @return the total, or empty if the upstream is unknown or warm
   */
  public synchronized OptionalInt total(String upstream) {
    Ramp ramp = ramps.get(upstream);
    return ramp == null || ramp.isWarm() ? OptionalInt.empty() : OptionalInt.of(ramp.total());
  }
}
