package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.sync.Upstream;

/**
 * Limits the requests at each upstream, ejects upstreams that fail and detects cold starts by
 * behaviour.
 *
 * <p>At most half of the known upstreams of a service are ejected: when more of them fail, the
 * cause is more likely outside of them.
 */
public final class AdaptiveUpstreamLimiter implements UpstreamLimiter {

  private static final int MAX_EJECTED_DIVISOR = 2;

  /** Upstreams that were not described for longer do not count as known. */
  private static final long KNOWN_MS = 10_000;

  private static final long FORGET_MS = 60_000;

  private final Clock clock;
  private final ConcurrentHashMap<String, UpstreamAccount> accounts = new ConcurrentHashMap<>();
  private final Object ejectionLock = new Object();
  private final PauseDetector pauses;
  private volatile int entryVms;

  /**
   * Creates a limiter.
   *
   * @param clock clock
   * @param entryVms number of entry VMs that share the upstreams
   */
  public AdaptiveUpstreamLimiter(Clock clock, int entryVms) {
    this.clock = clock;
    this.pauses = new PauseDetector(clock);
    this.entryVms = entryVms;
  }

  /**
   * Takes the number of entry VMs, which applies to upstreams seen from then on.
   *
   * @param newEntryVms number of entry VMs that share the upstreams
   */
  public void setEntryVms(int newEntryVms) {
    entryVms = Math.max(1, newEntryVms);
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    return observe(upstream).tryAcquire(clock.millis());
  }

  @Override
  public void release(Upstream upstream, AttemptResult result, long firstByteMs) {
    UpstreamAccount account = accounts.get(upstream.id());
    if (account == null) {
      return;
    }
    boolean judged = result == AttemptResult.REFUSED || !pauses.isAfterPause();
    AttemptResult judgedResult =
        judged || result == AttemptResult.SUCCESS ? result : AttemptResult.CANCELLED;
    long judgedFirstByteMs = judged ? firstByteMs : -1;
    if (account.release(upstream, judgedResult, judgedFirstByteMs, clock.millis())) {
      ejectIfAllowed(account);
    }
  }

  @Override
  public Candidate describe(Upstream upstream) {
    UpstreamAccount account = observe(upstream);
    return new Candidate(
        upstream,
        account.inFlight(),
        account.sentSinceReport(),
        account.isAvailable(clock.millis()),
        account.expectedLoad());
  }

  @Override
  public boolean looksCold(Upstream upstream) {
    UpstreamAccount account = accounts.get(upstream.id());
    if (account == null) {
      return false;
    }
    long nowMs = clock.millis();
    return account.refusesWithoutLoad(nowMs)
        || account.isSlow(nowMs) && !mostAreSlow(upstream.service(), nowMs);
  }

  /**
   * Tells whether an upstream is ejected.
   *
   * @param upstreamId identity of the upstream
   * @return true until a probe succeeds
   */
  public boolean isEjected(String upstreamId) {
    UpstreamAccount account = accounts.get(upstreamId);
    return account != null && account.isEjected();
  }

  /**
   * Forgets upstreams that have not been seen for a minute and notes that the process runs. Called
   * at least every 100 ms.
   */
  public void expire() {
    pauses.tick();
    long forgetBeforeMs = clock.millis() - FORGET_MS;
    accounts
        .values()
        .removeIf(account -> account.seenAtMs() < forgetBeforeMs && account.inFlight() == 0);
  }

  private UpstreamAccount observe(Upstream upstream) {
    UpstreamAccount account = accounts.get(upstream.id());
    if (account == null) {
      account =
          accounts.computeIfAbsent(upstream.id(), id -> new UpstreamAccount(upstream.service()));
    }
    account.observe(upstream, entryVms, clock.millis());
    return account;
  }

  private void ejectIfAllowed(UpstreamAccount failing) {
    synchronized (ejectionLock) {
      long knownSinceMs = clock.millis() - KNOWN_MS;
      int known = 0;
      int ejected = 0;
      for (UpstreamAccount account : accounts.values()) {
        if (account.service().equals(failing.service()) && account.seenAtMs() >= knownSinceMs) {
          known++;
          ejected += account.isEjected() ? 1 : 0;
        }
      }
      if (ejected + 1 <= known / MAX_EJECTED_DIVISOR) {
        failing.eject(clock.millis());
      }
    }
  }

  /** Slowness of most upstreams of a service is a slow service and no cold start of one of them. */
  private boolean mostAreSlow(String service, long nowMs) {
    int known = 0;
    int slow = 0;
    for (UpstreamAccount account : accounts.values()) {
      if (account.service().equals(service)) {
        known++;
        slow += account.isSlow(nowMs) ? 1 : 0;
      }
    }
    return slow * MAX_EJECTED_DIVISOR > known;
  }
}
