package org.ragwortpick.sync.rpc;

import java.time.Clock;
import java.util.OptionalLong;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.directory.Stamp;
import org.ragwortpick.sync.directory.VmJudge;

/** What a VM does while its replica leads: confirm its own view and judge the VMs. */
public final class LeaderDuties {

  private final Clock clock;
  private final LeaderSource leader;
  private final SyncState state;
  private final VmJudge vmJudge;
  private long leadingTerm;
  private long leadingSinceMs;
  private long stampNumber;

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
    this.vmJudge = new VmJudge(state.table(), state.heardVms(), this::nextStamp);
  }

  /** Takes note of gained or lost leadership and takes over the committed configuration. */
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
      // The flags of the old leader are current only if it confirmed them within the lease.
      if (!state.view().isInForce()) {
        state.warmFlags().raiseFloor(term);
      }
    }
    // The confirmation is read before the configuration, which is then at least as new.
    OptionalLong confirmedAtMs = leader.confirmedAtMs();
    if (confirmedAtMs.isPresent()) {
      state
          .view()
          .accept(leader.deltaSince(state.view().current().revision()), confirmedAtMs.getAsLong());
    }
  }

  /** Judges the VMs while the local VM leads. */
  public synchronized void tick() {
    refresh();
    if (isLeading()) {
      state.heardVms().hear(state.identity().vm(), state.identity().incarnation(), 0);
      vmJudge.judge(clock.millis() - leadingSinceMs);
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

  private Stamp nextStamp() {
    stampNumber++;
    return new Stamp(leadingTerm, stampNumber);
  }
}
