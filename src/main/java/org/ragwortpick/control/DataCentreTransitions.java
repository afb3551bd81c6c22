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
 * Advances transitions of data centres on the leader: orders the loads that the remaining data
 * centres need, commits OUT once these run, and commits IN at the end of the ramp after a return.
 */
public final class DataCentreTransitions {

  private static final String RAMPED = "RAMPED";
  private static final String TAKE_OUT = "TAKE_OUT";

  private final ConfigurationStateMachine machine;
  private final LeaderAdministration administration;
  private final PlacementSource placement;
  private final EngineOrders orders;
  private final LeaderLease lease;
  private final Clock monotonicClock;

  /** Start time of the ramp by data centre; a new leader restarts the ramp. */
  private final Map<String, Long> rampStartMs = new HashMap<>();

  /**
   * Creates the transitions of one control VM.
   *
   * @param machine local state machine of the group {@code config}
   * @param administration commits transitions
   * @param placement creates plans for the remaining data centres
   * @param orders engine orders for the planned loads
   * @param lease lease of the local replica as leader of the group
   * @param monotonicClock clock for ramps
   */
  public DataCentreTransitions(
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

  /** Advances each data centre that can enter its next state. Does nothing without the lease. */
  public synchronized void poll() {
    if (!lease.isHeld()) {
      rampStartMs.clear();
      return;
    }
    Configuration current = machine.current().configuration();
    List<String> preparing = dataCentresIn(current, DataCentreState.PREPARING);
    boolean anyOut = !dataCentresIn(current, DataCentreState.OUT).isEmpty();
    // An immediate take-out commits OUT first; its loads are ordered while the data centre is out.
    if (!anyOut && preparing.isEmpty()) {
      orders.requireLoads(List.of());
    } else if (placement.isComplete()) {
      prepare(current, preparing);
    }
    List<String> returning = dataCentresIn(current, DataCentreState.RETURNING);
    rampStartMs.keySet().retainAll(returning);
    returning.forEach(name -> finishRamp(current, name));
  }

  private static List<String> dataCentresIn(Configuration current, DataCentreState state) {
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
    orders.requireLoads(plan.loads());
    if (plan.isReady()) {
      preparing.forEach(name -> administration.advance(name, DataCentreState.PREPARING, TAKE_OUT));
    }
  }

  private void finishRamp(Configuration current, String name) {
    long nowMs = monotonicClock.millis();
    long startMs = rampStartMs.computeIfAbsent(name, absent -> nowMs);
    if (nowMs - startMs >= rampMs(current, name)) {
      administration.advance(name, DataCentreState.RETURNING, RAMPED);
    }
  }

  /**
   * Computes the time that all services of a data centre need to double their cold limits up to
   * their slots.
   *
   * @param current the configuration
   * @param dataCentre name of the data centre
   * @return longest time of a service in milliseconds
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
