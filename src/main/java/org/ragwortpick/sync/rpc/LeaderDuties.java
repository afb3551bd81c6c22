package org.ragwortpick.sync.rpc;

import java.time.Clock;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.allowance.AllowanceCoordinator;
import org.ragwortpick.sync.allowance.Demand;
import org.ragwortpick.sync.allowance.Grant;
import org.ragwortpick.sync.directory.Stamp;
import org.ragwortpick.sync.directory.VmFailureDetector;

/** Work of the leader VM: confirms its own view, detects lost VMs and grants cold allowances. */
public final class LeaderDuties {

  /** Interval of the failure detection and of the ramps, each of which visits all records. */
  private static final long TICK_INTERVAL_MS = 250;

  private final Clock clock;
  private final LeaderSource leader;
  private final SyncState state;
  private final VmFailureDetector failureDetector;
  private final AllowanceCoordinator coordinator;
  private long leadingTerm;
  private long leadingSinceMs;
  private long stampNumber;
  private long lastTickAtMs;

  /**
   * Creates the duties.
   *
   * @param clock monotonic clock
   * @param leader local control replica
   * @param state state of the local VM
   */
  public LeaderDuties(Clock clock, LeaderSource leader, SyncState state) {
    this.clock = clock;
    this.leader = leader;
    this.state = state;
    this.failureDetector =
        new VmFailureDetector(state.table(), state.heartbeats(), this::nextStamp);
    this.coordinator =
        new AllowanceCoordinator(clock, state.table(), state.warmFlags(), this::nextStamp);
  }

  /** Updates the leadership and, on the leader, the view from the committed configuration. */
  public synchronized void refresh() {
    if (!leader.isLeader()) {
      leadingTerm = 0;
      return;
    }
    long term = leader.term();
    if (term != leadingTerm) {
      leadingTerm = term;
      leadingSinceMs = clock.millis();
      stampNumber = 0;
      // The flags of the previous leader are valid only if confirmed within the lease.
      if (!state.view().isInForce()) {
        state.warmFlags().raiseFloor(term);
      }
      coordinator.startTerm();
    }
    // The confirmation is read first, so that the configuration read next is at least as new.
    OptionalLong confirmedAtMs = leader.confirmedAtMs();
    if (confirmedAtMs.isPresent()) {
      state
          .view()
          .accept(leader.deltaSince(state.view().current().revision()), confirmedAtMs.getAsLong());
    }
  }

  /** Detects lost VMs and advances the ramps of upstreams, if the local VM is the leader. */
  public synchronized void tick() {
    refresh();
    if (isLeading() && clock.millis() - lastTickAtMs >= TICK_INTERVAL_MS) {
      lastTickAtMs = clock.millis();
      state.heartbeats().record(state.identity().vm(), state.identity().incarnation(), 0);
      failureDetector.update(leadingTerm, clock.millis() - leadingSinceMs);
      // A deposed leader must not flag an upstream as warm while its successor treats it as cold.
      if (isWithinLeaderLease()) {
        coordinator.tick(state.view().current());
      }
    }
  }

  /**
   * Tells whether the local VM leads, as of the last refresh.
   *
   * @return true if it leads
   */
  public synchronized boolean isLeading() {
    return leadingTerm != 0;
  }

  /**
   * Processes a demand, if the local VM is the leader.
   *
   * @param demand demand of any VM
   * @return the grant, or empty if nothing is granted
   */
  public synchronized Optional<Grant> handleDemand(Demand demand) {
    if (!isLeading()) {
      return Optional.empty();
    }
    return coordinator.handleDemand(demand, isWithinLeaderLease());
  }

  private boolean isWithinLeaderLease() {
    OptionalLong confirmedAtMs = leader.confirmedAtMs();
    return confirmedAtMs.isPresent()
        && leader.term() == leadingTerm
        && clock.millis() - confirmedAtMs.getAsLong() < SyncTimings.LEADER_LEASE_MS;
  }

  /**
   * Returns the coordinator of cold allowances.
   *
   * @return the coordinator
   */
  public AllowanceCoordinator coordinator() {
    return coordinator;
  }

  private Stamp nextStamp() {
    stampNumber++;
    return new Stamp(leadingTerm, stampNumber);
  }
}
