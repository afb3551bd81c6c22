package org.ragwortpick.sync.directory;

import org.ragwortpick.common.StateChart;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** State transitions of upstreams, as defined by {@code upstream.json}. */
public final class UpstreamStates {

  private static final String RAMPED = "RAMPED";
  private static final String COLD_OBSERVED = "COLD_OBSERVED";
  private static final String LEAVING_ANNOUNCED = "LEAVING_ANNOUNCED";
  private static final String SILENT = "SILENT";
  private static final String ANNOUNCED_AGAIN = "ANNOUNCED_AGAIN";
  private static final StateChart CHART = StateChart.load("upstream.json");

  private UpstreamStates() {}

  /**
   * Returns the state of an incarnation after its first announcement.
   *
   * @param announced state that the upstream announced
   * @return the state
   */
  public static UpstreamState afterFirstAnnouncement(UpstreamState announced) {
    return afterAnnouncement(UpstreamState.valueOf(CHART.initialState()), announced);
  }

  /**
   * Returns the state after a later announcement of the same incarnation. An incarnation that is
   * leaving stays leaving; one that was lost returns as cold.
   *
   * @param current state before the announcement
   * @param announced state that the upstream announced
   * @return the state
   */
  public static UpstreamState afterAnnouncement(UpstreamState current, UpstreamState announced) {
    if (current == UpstreamState.LEAVING) {
      return current;
    }
    if (current == UpstreamState.LOST) {
      UpstreamState afterReturn = next(current, ANNOUNCED_AGAIN);
      return announced == UpstreamState.LEAVING
          ? next(afterReturn, LEAVING_ANNOUNCED)
          : afterReturn;
    }
    return switch (announced) {
      case COLD -> next(current, COLD_OBSERVED);
      case READY -> next(current, RAMPED);
      case LEAVING -> next(current, LEAVING_ANNOUNCED);
      default -> current;
    };
  }

  /**
   * Returns the state after the announcement timeout.
   *
   * @param current state before the timeout
   * @return the state
   */
  public static UpstreamState afterTimeout(UpstreamState current) {
    return next(current, SILENT);
  }

  /**
   * Returns the state in which an upstream is offered while its warm flag is not set.
   *
   * @param current announced state
   * @return the state
   */
  public static UpstreamState withoutWarmFlag(UpstreamState current) {
    return next(current, COLD_OBSERVED);
  }

  private static UpstreamState next(UpstreamState state, String event) {
    return CHART.next(state.name(), event).map(UpstreamState::valueOf).orElse(state);
  }

  /**
   * Copies an upstream with another state and load.
   *
   * @param upstream the upstream
   * @param state state of the copy
   * @param load load of the copy
   * @return the copy, or the upstream itself if nothing changes
   */
  public static Upstream with(Upstream upstream, UpstreamState state, int load) {
    if (upstream.state() == state && upstream.load() == load) {
      return upstream;
    }
    return copy(upstream, upstream.sequence(), state, load);
  }

  /**
   * Copies an upstream with another sequence.
   *
   * @param upstream the upstream
   * @param sequence sequence of the copy
   * @return the copy, or the upstream itself if nothing changes
   */
  public static Upstream withSequence(Upstream upstream, long sequence) {
    return upstream.sequence() == sequence
        ? upstream
        : copy(upstream, sequence, upstream.state(), upstream.load());
  }

  private static Upstream copy(Upstream u, long sequence, UpstreamState state, int load) {
    return new Upstream(
        u.id(),
        u.incarnation(),
        sequence,
        u.address(),
        u.dataCentre(),
        u.service(),
        u.model(),
        u.version(),
        u.adapters(),
        state,
        u.slots(),
        u.coldLimit(),
        load,
        u.checksFencing());
  }
}
