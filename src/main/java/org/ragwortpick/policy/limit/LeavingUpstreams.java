package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.Upstream;

/**
 * Upstreams that stated in a response to the local VM that they are leaving. Thread-safe.
 *
 * <p>An upstream may state this before its announcements do, or while they do not arrive. The
 * statement holds for one incarnation and expires, so that a false one does not exclude a sound
 * upstream for good.
 */
public final class LeavingUpstreams {

  private static final Logger LOG = Logger.getLogger(LeavingUpstreams.class);

  /** Time after the last statement by which an upstream that leaves has ended. */
  private static final long RETENTION_MS = 60_000;

  /**
   * Time after the first statement in which an upstream certainly still serves, and is used if all
   * others are leaving too.
   */
  private static final long LAST_RESORT_MS = 1_000;

  private final Clock clock;
  private final Map<String, Statement> statements = new HashMap<>();

  /**
   * Creates an instance without statements.
   *
   * @param clock monotonic clock
   */
  public LeavingUpstreams(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that an upstream stated in a response that it is leaving.
   *
   * @param upstream record of the upstream to which the request was sent
   */
  public synchronized void record(Upstream upstream) {
    Statement known = statements.get(upstream.id());
    if (known != null && known.incarnation > upstream.incarnation()) {
      return;
    }
    long nowMs = clock.millis();
    if (known != null && known.incarnation == upstream.incarnation() && isCurrent(known, nowMs)) {
      known.lastAtMs = nowMs;
      return;
    }
    statements.put(upstream.id(), new Statement(upstream.incarnation(), nowMs));
    DecisionLine.of("upstream excluded, it stated in a response that it is leaving")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("incarnation", upstream.incarnation())
        .info(LOG);
  }

  /**
   * Returns whether an upstream has stated that it is leaving.
   *
   * @param upstream the upstream
   * @return whether this incarnation, or a later one under the same id, stated so
   */
  public synchronized boolean isLeaving(Upstream upstream) {
    Statement statement = statements.get(upstream.id());
    return statement != null
        && upstream.incarnation() <= statement.incarnation
        && isCurrent(statement, clock.millis());
  }

  /**
   * Removes the upstreams that are leaving. If all are, those that still serve for a while remain.
   *
   * @param upstreams upstreams of one service
   * @return the upstreams that may receive requests
   */
  public synchronized List<Upstream> exclude(List<Upstream> upstreams) {
    if (statements.isEmpty()) {
      return upstreams;
    }
    List<Upstream> staying = upstreams.stream().filter(upstream -> !isLeaving(upstream)).toList();
    return staying.isEmpty() ? upstreams.stream().filter(this::isStillServing).toList() : staying;
  }

  private boolean isStillServing(Upstream upstream) {
    Statement statement = statements.get(upstream.id());
    return statement != null && clock.millis() - statement.firstAtMs < LAST_RESORT_MS;
  }

  /**
   * Returns the number of upstreams that are excluded.
   *
   * @return number of upstreams
   */
  public synchronized int count() {
    long nowMs = clock.millis();
    return (int) statements.values().stream().filter(known -> isCurrent(known, nowMs)).count();
  }

  /** Drops the statements that no longer hold. */
  public synchronized void expire() {
    long nowMs = clock.millis();
    statements.values().removeIf(statement -> !isCurrent(statement, nowMs));
  }

  private static boolean isCurrent(Statement statement, long nowMs) {
    return nowMs - statement.lastAtMs < RETENTION_MS;
  }

  private static final class Statement {
    private final long incarnation;
    private final long firstAtMs;
    private long lastAtMs;

    private Statement(long incarnation, long nowMs) {
      this.incarnation = incarnation;
      this.firstAtMs = nowMs;
      this.lastAtMs = nowMs;
    }
  }
}
