package org.ragwortpick.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Service;
import org.ragwortpick.control.leader.LeaderLease;

/**
 * Carries on the moves of data centres on the leader: orders the loads that the remaining data
 * centres need, commits OUT once they run, and commits IN at the end of the ramp after a return.
 */
public final class DataCentreMoves {

  private static final String RAMPED = "RAMPED";
  private static final String TAKE_OUT = "TAKE_OUT";

  private final ConfigurationStateMachine machine;
  private final LeaderAdministration administration;
  private final PlacementSource placement;
  private final EngineOrders orders;
  private final LeaderLease lease;
  private final Clock monotonicClock;

  /** Start of the ramp by data centre; a new leader starts the ramp again. */
  private final Map<String, Long> rampStartMs = new HashMap<>();

  /**
   * Creates the moves of one control VM.
   *
   * @param machine local state machine of the group {@code config}
   * @param administration commits transitions
   * @param placement plans for the data centres that remain
   * @param orders orders loads
   * @param lease lease of the local replica as leader of the group
   * @param monotonicClock clock for ramps
   */
  public DataCentreMoves(
      ConfigurationStateMachine machine,
      LeaderAdministration administration,
      PlacementSource placement,
      EngineOrders orders,
      LeaderLease lease,
      Clock monotonicClock) {
    this.machine = machine;
    this.administration = administration;
    this.placement = placement;
    this.orders = orders;
    this.lease = lease;
    this.monotonicClock = monotonicClock;
  }

  /** Looks at each data centre once. Does nothing without the lease. */
  public synchronized void poll() {
    if (!lease.isHeld()) {
      rampStartMs.clear();
      return;
    }
    Configuration current = machine.current().configuration();
    List<String> preparing = inState(current, DataCentreState.PREPARING);
    boolean anyOut = !inState(current, DataCentreState.OUT).isEmpty();
    // After a take-out without waiting, the loads follow while the data centre is out.
    if (!anyOut && preparing.isEmpty()) {
      orders.require(List.of());
    } else if (placement.isComplete()) {
      prepare(current, preparing);
    }
    List<String> returning = inState(current, DataCentreState.RETURNING);
    rampStartMs.keySet().retainAll(returning);
    returning.forEach(name -> ramp(current, name));
  }

  private static List<String> inState(Configuration current, DataCentreState state) {
    return current.inventory().dataCentres().stream()
        .filter(name -> current.stateOf(name) == state)
        .toList();
  }

  private void prepare(Configuration current, List<String> preparing) {
    Set<String> remaining =
        current.inventory().dataCentres().stream()
            .filter(current::takesWork)
            .filter(name -> !preparing.contains(name))
            .collect(Collectors.toSet());
    PlacementPlan plan = placement.plan(current.inventory(), remaining);
    orders.require(plan.loads());
    if (plan.isReady()) {
      preparing.forEach(name -> administration.advance(name, DataCentreState.PREPARING, TAKE_OUT));
    }
  }

  private void ramp(Configuration current, String name) {
    long nowMs = monotonicClock.millis();
    long startMs = rampStartMs.computeIfAbsent(name, absent -> nowMs);
    if (nowMs - startMs >= rampMs(current, name)) {
      administration.advance(name, DataCentreState.RETURNING, RAMPED);
    }
  }

  /**
   * Computes the time in which every service of a data centre doubles its cold limit up to its
   * slots.
   *
   * @param current the configuration
   * @param dataCentre name of the data centre
   * @return time in milliseconds
   */
  static long rampMs(Configuration current, String dataCentre) {
    long longestMs = 0;
    for (Service service : current.inventory().services()) {
      boolean placed =
          service.placements().stream()
              .anyMatch(placement -> placement.dataCentre().equals(dataCentre));
      long steps = 0;
      for (long limit = service.coldLimit(); limit < service.slots(); limit *= 2) {
        steps++;
      }
      longestMs = placed ? Math.max(longestMs, steps * service.rampStepMs()) : longestMs;
    }
    return longestMs;
  }
}
