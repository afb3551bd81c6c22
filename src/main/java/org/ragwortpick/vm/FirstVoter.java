package org.ragwortpick.vm;

import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.consensus.ReplicaProbe;

/**
 * Selects the VM that forms the control group at the first start of a deployment: the lowest seed
 * that hosts a replica. Seeds without a disk cannot form it. A VM that is not sure does not form
 * the group, because two groups could never be merged.
 */
final class FirstVoter {

  private static final Logger LOG = Logger.getLogger(FirstVoter.class);

  /** Time for which a lower seed may take to start. */
  private static final long SEED_START_TIMEOUT_MS = 5_000;

  private static final long RETRY_INTERVAL_MS = 100;

  private final HostPort local;
  private final List<HostPort> seeds;
  private final Function<HostPort, ReplicaProbe.Answer> probe;

  /**
   * Creates the selection for one VM.
   *
   * @param local peer address of the local VM, which hosts a replica
   * @param seeds peer addresses of the seeds, the same on all VMs
   * @param probe asks a seed whether it hosts a replica
   */
  FirstVoter(HostPort local, List<HostPort> seeds, Function<HostPort, ReplicaProbe.Answer> probe) {
    this.local = local;
    this.seeds = seeds;
    this.probe = probe;
  }

  /**
   * Returns whether the local VM forms the group. Waits for lower seeds to start.
   *
   * @param clock monotonic clock
   * @return whether the local VM is a seed and all lower seeds have responded that they host no
   *     replica
   */
  boolean isLocal(Clock clock) {
    if (!seeds.contains(local)) {
      return false;
    }
    long endMs = clock.millis() + SEED_START_TIMEOUT_MS;
    return seeds.stream()
        .filter(seed -> seed.toString().compareTo(local.toString()) < 0)
        .sorted(Comparator.comparing(HostPort::toString))
        .allMatch(seed -> hostsNoReplica(seed, clock, endMs));
  }

  private boolean hostsNoReplica(HostPort seed, Clock clock, long endMs) {
    ReplicaProbe.Answer answer = probe.apply(seed);
    while (answer == ReplicaProbe.Answer.UNREACHABLE && clock.millis() < endMs) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS));
      answer = probe.apply(seed);
    }
    LOG.infof("first start: seed %s answered %s", seed, answer);
    return answer == ReplicaProbe.Answer.NO_REPLICA;
  }
}
