package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.policy.select.Rendezvous;

/**
 * Share of the local VM in the request rate that a cold upstream can handle. Rendezvous hashing
 * selects the VMs that may send to the upstream, as many as the rate allows if each sends one
 * request at a time and one per second. The requests of all VMs together stay within the rate in
 * any second, without messages between the VMs.
 *
 * <p>The share is computed for each request and not leased, so that a VM that resumes from a
 * suspension cannot use a stale one.
 */
public final class ColdRateShare {

  /** Minimum interval between two requests of one VM to one cold upstream. */
  private static final long MIN_INTERVAL_MS = 1_000;

  /** Most requests that one VM sends in any one second: one at its start and one at its end. */
  private static final int MAX_REQUESTS_PER_VM = 2;

  private final String vm;
  private final Clock clock;
  private final Map<String, Long> nextAtMs = new HashMap<>();

  /**
   * Creates the share of one VM.
   *
   * @param vm name of the local VM
   * @param clock monotonic clock
   */
  public ColdRateShare(String vm, Clock clock) {
    this.vm = vm;
    this.clock = clock;
  }

  /**
   * Takes a permit to send one request.
   *
   * @param upstreamId id of the cold upstream
   * @param requestsPerSecond rate that the upstream can handle from all VMs
   * @param vms names of all entry VMs
   * @return whether the local VM may send a request now
   */
  public boolean tryTake(String upstreamId, double requestsPerSecond, List<String> vms) {
    int permittedVms = (int) Math.max(1, requestsPerSecond / MAX_REQUESTS_PER_VM);
    boolean isPermitted =
        vms.stream()
            .sorted(
                Comparator.comparingLong((String name) -> Rendezvous.score(upstreamId, name))
                    .reversed())
            .limit(permittedVms)
            .anyMatch(vm::equals);
    long nowMs = clock.millis();
    nextAtMs.values().removeIf(atMs -> nowMs >= atMs);
    if (!isPermitted || nextAtMs.containsKey(upstreamId)) {
      return false;
    }
    nextAtMs.put(upstreamId, nowMs + MIN_INTERVAL_MS);
    return true;
  }
}
