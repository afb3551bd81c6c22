package org.ragwortpick.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.config.Rollout;

/**
 * Decides on the leader when one rollout ends, from the reports of all VMs. Has no I/O and no clock
 * of its own.
 *
 * <p>The move of all traffic begins as late as the exposure bound demands: what the trial left of
 * the bound is spent on the time in which the new version gets everything and the old upstreams
 * still answer what they have.
 */
public final class RolloutTrial {

  /** Part of the exposure bound that is used; the rest covers counts that are under way. */
  private static final double USED_SHARE = 0.9;

  private static final double USED_SLACK = 0.7;

  /** Time that most responses in flight need to end. */
  private static final long MAX_MOVE_MS = 6_000;

  /** Time before the end at which the rollout is completed though responses are in flight. */
  private static final long END_MARGIN_MS = 400;

  /** Time after the end after which VMs that have not confirmed the move are not waited for. */
  private static final long MAX_WAIT_FOR_VMS_MS = 10_000;

  /**
   * Time from the move to the completion, in which all VMs move and the leader learns of a version
   * that is bad only under load.
   */
  private static final long MIN_MOVE_MS = 3_000;

  /** The same with few responses since the move. */
  private static final long MIN_MOVE_WITH_FEW_RESPONSES_MS = 4_500;

  private static final long ENOUGH_RESPONSES = 100;

  /** Time from the decision to move until the average VM moves. */
  private static final long MOVE_LAG_MS = 500;

  private static final long NEVER = Long.MAX_VALUE;

  /** Time over which the present request rate is measured. */
  private static final long RATE_WINDOW_MS = 5_000;

  private static final double MS_PER_SECOND = 1_000;

  private final RolloutBounds bounds;
  private final long durationMs;
  private final VersionJudge judge = new VersionJudge();
  private final Map<String, VersionReport> reports = new HashMap<>();
  private long sentOld;
  private long sentNew;
  private long windowFromMs;
  private long sentAtWindow;
  private double requestsPerMs;
  private long movedAtMs = NEVER;
  private long responsesAtMove;

  /**
   * Creates the trial of a rollout without reports.
   *
   * @param bounds bounds of the deployment
   * @param durationMs duration of the rollout in milliseconds
   */
  public RolloutTrial(RolloutBounds bounds, long durationMs) {
    this.bounds = bounds;
    this.durationMs = durationMs;
  }

  /**
   * Adds the growth of a report since the last one of the same VM.
   *
   * @param report the report
   */
  public void observe(VersionReport report) {
    VersionReport known = reports.get(report.vm());
    if (known != null && !report.isNewerThan(known)) {
      return;
    }
    reports.put(report.vm(), report);
    boolean continues = known != null && known.incarnation() == report.incarnation();
    sentOld += report.sentOld() - (continues ? known.sentOld() : 0);
    sentNew += report.sentNew() - (continues ? known.sentNew() : 0);
    Map<String, RouteCounts> before = new HashMap<>();
    if (continues) {
      known.routes().forEach(counts -> before.put(counts.route(), counts));
    }
    for (RouteCounts counts : report.routes()) {
      VersionCounts grownOld = counts.oldVersion().copy();
      VersionCounts grownNew = counts.newVersion().copy();
      RouteCounts earlier = before.get(counts.route());
      if (earlier != null) {
        grownOld.add(earlier.oldVersion(), -1);
        grownNew.add(earlier.newVersion(), -1);
      }
      judge.add(counts.route(), grownOld, grownNew);
    }
  }

  /**
   * Decides on the next state.
   *
   * @param state present state, RUNNING or COMPLETING
   * @param elapsedMs time since the order in milliseconds
   * @param entryVms VMs that may send requests
   * @param hasNewUpstreams whether an upstream of the new version is there
   * @return the decision
   */
  public Decision decide(
      Rollout.State state, long elapsedMs, Set<String> entryVms, boolean hasNewUpstreams) {
    judge.step(elapsedMs);
    measureRate(elapsedMs);
    if (judge.isBad()) {
      return new Decision(Rollout.State.ROLLED_BACK, "bad");
    }
    return state == Rollout.State.COMPLETING
        ? decideCompletion(elapsedMs, entryVms, hasNewUpstreams)
        : decideMove(elapsedMs, hasNewUpstreams);
  }

  private Decision decideMove(long elapsedMs, boolean hasNewUpstreams) {
    boolean acceptable = hasNewUpstreams && judge.isAcceptable();
    if (acceptable && elapsedMs >= durationMs - moveMs(elapsedMs)) {
      return new Decision(Rollout.State.COMPLETING, "not_bad");
    }
    if (!acceptable && elapsedMs >= durationMs) {
      return new Decision(
          Rollout.State.ROLLED_BACK, hasNewUpstreams ? "not_known_to_be_good" : "no_upstream");
    }
    return new Decision(Rollout.State.RUNNING, "on_trial");
  }

  private Decision decideCompletion(long elapsedMs, Set<String> entryVms, boolean hasNewUpstreams) {
    if (!hasNewUpstreams) {
      // The old upstreams stop once the rollout is completed.
      return new Decision(Rollout.State.ROLLED_BACK, "no_upstream");
    }
    boolean confirmed =
        entryVms.stream().allMatch(vm -> reports.containsKey(vm) && reports.get(vm).moved());
    if (movedAtMs == NEVER) {
      movedAtMs = elapsedMs;
      responsesAtMove = judge.newResponses();
    }
    boolean hasEnough = judge.newResponses() - responsesAtMove >= ENOUGH_RESPONSES;
    boolean isTried =
        elapsedMs - movedAtMs >= (hasEnough ? MIN_MOVE_MS : MIN_MOVE_WITH_FEW_RESPONSES_MS);
    boolean mayWait = elapsedMs < durationMs - END_MARGIN_MS;
    if (confirmed && isTried && (!mayWait || oldInFlight(entryVms) == 0)) {
      return new Decision(Rollout.State.COMPLETED, "moved");
    }
    if (elapsedMs >= durationMs + MAX_WAIT_FOR_VMS_MS) {
      return new Decision(Rollout.State.COMPLETED, "waited_for_vms");
    }
    return new Decision(Rollout.State.COMPLETING, "moving");
  }

  private void measureRate(long elapsedMs) {
    if (elapsedMs - windowFromMs >= RATE_WINDOW_MS) {
      long sent = sentOld + sentNew;
      requestsPerMs = (double) (sent - sentAtWindow) / (elapsedMs - windowFromMs);
      sentAtWindow = sent;
      windowFromMs = elapsedMs;
    }
  }

  private double rate(long elapsedMs) {
    return Math.max(requestsPerMs, (double) (sentOld + sentNew) / Math.max(1, elapsedMs));
  }

  /**
   * Returns the share of the requests that the new version gets from now on.
   *
   * @param elapsedMs time since the order in milliseconds
   * @return the share
   */
  public double share(long elapsedMs) {
    return bounds.shareAt(elapsedMs, durationMs, sentOld + sentNew, sentNew, rate(elapsedMs));
  }

  /** Returns for how long all traffic may go to the new version before the duration ends. */
  private long moveMs(long elapsedMs) {
    double share = USED_SHARE * bounds.exposureShare();
    long sent = sentOld + sentNew;
    double left = share * sent + USED_SLACK * bounds.exposureSlack() - sentNew;
    if (left <= 0) {
      return 0;
    }
    return MOVE_LAG_MS
        + (long)
            Math.min(
                MAX_MOVE_MS, left / Math.max(rate(elapsedMs) * (1 - share), 1 / MS_PER_SECOND));
  }

  /** The requests of VMs that are gone have ended with them. */
  private int oldInFlight(Set<String> entryVms) {
    return reports.values().stream()
        .filter(report -> entryVms.contains(report.vm()))
        .mapToInt(VersionReport::oldInFlight)
        .sum();
  }

  /**
   * Returns what the decisions are based on, for the log.
   *
   * @return numbers of requests and of responses of the new version
   */
  public List<Long> evidence() {
    return List.of(sentOld, sentNew, judge.newResponses(), judge.badResponses());
  }

  /**
   * Decision on the state of a rollout.
   *
   * @param next next state
   * @param reason why
   */
  public record Decision(Rollout.State next, String reason) {}
}
