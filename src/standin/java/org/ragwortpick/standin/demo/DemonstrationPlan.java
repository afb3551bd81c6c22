package org.ragwortpick.standin.demo;

import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.standin.UpstreamSpec;
import org.ragwortpick.standin.load.LoadPlan;

/**
 * Targets and load of a demonstration.
 *
 * @param callers caller addresses of the entry VMs
 * @param admin administration address of one VM
 * @param upstreams upstreams that stand-in processes simulate
 * @param dataCentre data centre to take out and to return
 * @param bookingService service of the call that is sent twice
 * @param load requests to send
 */
public record DemonstrationPlan(
    List<HostPort> callers,
    HostPort admin,
    List<UpstreamSpec> upstreams,
    String dataCentre,
    String bookingService,
    LoadPlan load) {

  /** Copies the lists. */
  public DemonstrationPlan {
    callers = List.copyOf(callers);
    upstreams = List.copyOf(upstreams);
  }
}
