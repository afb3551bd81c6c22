package org.ragwortpick.control.leader;

import java.time.Clock;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ragwortpick.consensus.ConsensusGroup;

/**
 * Lease of the local replica as leader. While it is held, no other replica can have been elected,
 * so the local state contains every acknowledged change.
 */
public final class LeaderLease {

  /** Length of the lease; shorter than the lowest election timeout of 500 ms. */
  public static final long LEASE_MS = 400;

  private static final long POLL_INTERVAL_MS = 20;

  /** Maximum wait; shorter than the 500 ms after which {@link LeaderCalls} tries once more. */
  private static final long MAX_WAIT_MS = 300;

  private final ConsensusGroup group;
  private final Clock monotonicClock;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates the lease of one group.
   *
   * @param group the group
   * @param monotonicClock clock of the confirmation times of the group
   * @param scheduler runs the polling while waiting
   */
  public LeaderLease(
      ConsensusGroup group, Clock monotonicClock, ScheduledExecutorService scheduler) {
    this.group = group;
    this.monotonicClock = monotonicClock;
    this.scheduler = scheduler;
  }

  /**
   * Tells whether the lease is held. A read is current if this is true after the read.
   *
   * @return true if a quorum confirmed the local replica as leader within the lease
   */
  public boolean isHeld() {
    OptionalLong confirmedAtMs = group.confirmedAtMs();
    return confirmedAtMs.isPresent()
        && monotonicClock.millis() - confirmedAtMs.getAsLong() < LEASE_MS;
  }

  /**
   * Waits until the lease is held.
   *
   * @param timeoutMs timeout in milliseconds; at most 300 are used
   * @return true once the lease is held; false if the replica does not lead or the timeout expired
   */
  public CompletionStage<Boolean> await(long timeoutMs) {
    CompletableFuture<Boolean> held = new CompletableFuture<>();
    poll(held, this::isHeld, monotonicClock.millis() + Math.min(timeoutMs, MAX_WAIT_MS));
    return held;
  }

  /**
   * Waits until a quorum confirms the leadership in a round that was sent after this call. Unlike
   * the lease, that proof also holds after a suspension, which the monotonic clock does not count.
   *
   * @param timeoutMs timeout in milliseconds; at most 300 are used
   * @return false if the local replica does not lead or no quorum confirmed it before the timeout
   */
  public CompletionStage<Boolean> awaitConfirmation(long timeoutMs) {
    CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
    long calledAtMs = monotonicClock.millis();
    poll(
        confirmed,
        () -> group.confirmedAtMs().orElse(Long.MIN_VALUE) > calledAtMs,
        calledAtMs + Math.min(timeoutMs, MAX_WAIT_MS));
    return confirmed;
  }

  private void poll(CompletableFuture<Boolean> result, BooleanSupplier condition, long deadlineMs) {
    if (condition.getAsBoolean()) {
      result.complete(true);
    } else if (!group.leadership().leader() || monotonicClock.millis() >= deadlineMs) {
      result.complete(false);
    } else {
      scheduler.schedule(
          () -> poll(result, condition, deadlineMs), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }
}
