package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.sync.Upstream;

/**
 * Limits the requests at each upstream, ejects failing upstreams and detects cold starts by their
 * responses.
 *
 * <p>At most half of the active upstreams of a service are ejected: if more of them fail, the cause
 * is more likely outside of them.
 */
public final class AdaptiveUpstreamLimiter implements UpstreamLimiter {

  private static final int HALF_DIVISOR = 2;

  /** Time since its last use after which an upstream does not count as active. */
  private static final long ACTIVE_MS = 10_000;

  /** Time since its last use after which the state of an upstream is dropped. */
  private static final long IDLE_EXPIRY_MS = 60_000;

  private final Clock clock;
  private final ConcurrentHashMap<String, UpstreamLimitState> states = new ConcurrentHashMap<>();
  private final Object ejectionLock = new Object();
  private final PauseDetector pauseDetector;
  private volatile int entryVms;

  /**
   * Creates a limiter.
   *
   * @param clock monotonic clock
   * @param entryVms number of entry VMs that share the upstreams
   */
  public AdaptiveUpstreamLimiter(Clock clock, int entryVms) {
    this.clock = clock;
    this.pauseDetector = new PauseDetector(clock);
    this.entryVms = entryVms;
  }

  /**
   * Sets the number of entry VMs. The limit of an upstream follows when its slots change or it
   * restarts.
   *
   * @param newEntryVms number of entry VMs that share the upstreams
   */
  public void setEntryVms(int newEntryVms) {
    entryVms = Math.max(1, newEntryVms);
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    return updateState(upstream).tryAcquire(clock.millis());
  }

  @Override
  public void release(Upstream upstream, AttemptResult result, long firstByteMs) {
    UpstreamLimitState state = states.get(upstream.id());
    if (state == null) {
      return;
    }
    boolean isEvidence = result == AttemptResult.REFUSED || !pauseDetector.isAfterPause();
    AttemptResult effectiveResult =
        isEvidence || result == AttemptResult.SUCCESS ? result : AttemptResult.CANCELLED;
    long effectiveFirstByteMs = isEvidence ? firstByteMs : -1;
    if (state.release(upstream, effectiveResult, effectiveFirstByteMs, clock.millis())) {
      ejectIfAllowed(state);
    }
  }

  @Override
  public Candidate describe(Upstream upstream) {
    UpstreamLimitState state = updateState(upstream);
    return new Candidate(
        upstream,
        state.inFlight(),
        state.sentSinceReport(),
        state.isAvailable(clock.millis()),
        state.expectedLoad());
  }

  @Override
  public boolean looksCold(Upstream upstream) {
    UpstreamLimitState state = states.get(upstream.id());
    if (state == null) {
      return false;
    }
    long nowMs = clock.millis();
    return state.refusesWithoutLoad(nowMs)
        || state.isSlow(nowMs) && !mostAreSlow(upstream.service(), nowMs);
  }

  /**
   * Tells whether an upstream is ejected.
   *
   * @param upstreamId id of the upstream
   * @return true until a probe succeeds
   */
  public boolean isEjected(String upstreamId) {
    UpstreamLimitState state = states.get(upstreamId);
    return state != null && state.isEjected();
  }

  /**
   * Drops the state of upstreams that have not been used for a minute and detects pauses of the
   * process. Called at least every 100 ms.
   */
  public void expire() {
    pauseDetector.tick();
    long idleSinceMs = clock.millis() - IDLE_EXPIRY_MS;
    states.values().removeIf(state -> state.lastUsedAtMs() < idleSinceMs && state.inFlight() == 0);
  }

  private UpstreamLimitState updateState(Upstream upstream) {
    UpstreamLimitState state = states.get(upstream.id());
    if (state == null) {
      state =
          states.computeIfAbsent(upstream.id(), id -> new UpstreamLimitState(upstream.service()));
    }
    state.update(upstream, entryVms, clock.millis());
    return state;
  }

  private void ejectIfAllowed(UpstreamLimitState failing) {
    synchronized (ejectionLock) {
      long activeSinceMs = clock.millis() - ACTIVE_MS;
      int active = 0;
      int ejected = 0;
      for (UpstreamLimitState state : states.values()) {
        if (state.service().equals(failing.service()) && state.lastUsedAtMs() >= activeSinceMs) {
          active++;
          ejected += state.isEjected() ? 1 : 0;
        }
      }
      if (ejected + 1 <= active / HALF_DIVISOR) {
        failing.eject(clock.millis());
      }
    }
  }

  /** If most upstreams of a service are slow, the service is slow and none is in a cold start. */
  private boolean mostAreSlow(String service, long nowMs) {
    int total = 0;
    int slow = 0;
    for (UpstreamLimitState state : states.values()) {
      if (state.service().equals(service)) {
        total++;
        slow += state.isSlow(nowMs) ? 1 : 0;
      }
    }
    return slow * HALF_DIVISOR > total;
  }
}
