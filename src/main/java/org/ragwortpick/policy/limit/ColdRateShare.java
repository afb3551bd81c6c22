package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.policy.select.Rendezvous;

/**
 * Share of the request rate that a cold upstream bears from all VMs together. Rendezvous hashing
 * names as many VMs as the rate allows when each of them sends at most one request at once and one
 * per second, so the sum stays within the rate in any second without a message.
 *
 * <p>A share is not lent for a time, so a VM that wakes from a suspension cannot spend an old one.
 */
public final class ColdRateShare {

  /** Interval between two requests of one VM to one cold upstream. */
  private static final long INTERVAL_MS = 1_000;

  /** Requests that one VM can place within one second: one at its start and one at its end. */
  private static final int REQUESTS_PER_SECOND = 2;

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
   * Takes the right to send one request.
   *
   * @param upstreamId id of the cold upstream
   * @param requestsPerSecond rate that the upstream bears from all VMs
   * @param vms names of all VMs that serve callers
   * @return whether the local VM may send a request now
   */
  public boolean tryTake(String upstreamId, double requestsPerSecond, List<String> vms) {
    int holders = (int) Math.max(1, requestsPerSecond / REQUESTS_PER_SECOND);
    boolean holds =
        vms.stream()
            .sorted(
                Comparator.comparingLong((String name) -> Rendezvous.score(upstreamId, name))
                    .reversed())
            .limit(holders)
            .anyMatch(vm::equals);
    long nowMs = clock.millis();
    nextAtMs.values().removeIf(atMs -> nowMs >= atMs);
    if (!holds || nextAtMs.containsKey(upstreamId)) {
      return false;
    }
    nextAtMs.put(upstreamId, nowMs + INTERVAL_MS);
    return true;
  }
}
