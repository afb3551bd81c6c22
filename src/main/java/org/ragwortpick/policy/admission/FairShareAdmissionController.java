package org.ragwortpick.policy.admission;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.AdmissionRequest;

/**
 * Admits requests by priority of their workspace, with a weighted fair share within a priority and
 * a minimum share for every workspace.
 *
 * <p>The minimum is counted in grants: while a workspace has waiting requests, at least one of
 * every {@code 100 / minimumSharePercent} grants is for it. No capacity is reserved for a workspace
 * without waiting requests.
 */
public final class FairShareAdmissionController implements AdmissionController {

  private static final double PERCENT = 100.0;

  private final Clock clock;
  private final int maxWaitingPerWorkspace;
  private final int maxWaiting;
  private final Object lock = new Object();
  private final Map<String, WorkspaceShare> shares = new HashMap<>();
  private final Backlog backlog = new Backlog();
  private final GrantInterval grantInterval = new GrantInterval();
  private Map<String, Integer> priorities = Map.of();
  private Configuration configuration = Configuration.EMPTY;
  private double minimumShare;
  private int capacity;
  private int running;
  private int waiting;
  private long grants;
  private long sequence;

  /**
   * Creates a controller that admits nothing until {@link #update}.
   *
   * @param clock clock of the request deadlines
   * @param maxWaitingPerWorkspace most waiting requests of one workspace
   * @param maxWaiting most waiting requests; above it each workspace may have one request waiting
   */
  public FairShareAdmissionController(Clock clock, int maxWaitingPerWorkspace, int maxWaiting) {
    this.clock = clock;
    this.maxWaitingPerWorkspace = maxWaitingPerWorkspace;
    this.maxWaiting = maxWaiting;
  }

  @Override
  public CompletionStage<Boolean> admit(AdmissionRequest request) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    List<Decision> decisions = new ArrayList<>(1);
    synchronized (lock) {
      WorkspaceShare share = getOrCreateShare(request.workspace());
      if (mustRefuse(share, request.deadlineAtMs())) {
        decisions.add(new Decision(result, false));
        dropIfIdleAndUnconfigured(share);
      } else {
        backlog.remove(share);
        share.waiting().add(new WaitingRequest(request.deadlineAtMs(), sequence++, result));
        waiting++;
        backlog.add(share);
        grant(decisions);
      }
    }
    decisions.forEach(Decision::complete);
    return result;
  }

  @Override
  public void release(String workspace) {
    List<Decision> decisions = new ArrayList<>(1);
    synchronized (lock) {
      WorkspaceShare share = shares.get(workspace);
      if (share != null && share.release()) {
        running--;
        grant(decisions);
        dropIfIdleAndUnconfigured(share);
      }
    }
    decisions.forEach(Decision::complete);
  }

  @Override
  public void expire() {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      for (WorkspaceShare share : List.copyOf(shares.values())) {
        if (!share.waiting().isEmpty()) {
          backlog.remove(share);
          refuseExpired(share, decisions);
          backlog.add(share);
        }
        dropIfIdleAndUnconfigured(share);
      }
      grant(decisions);
    }
    decisions.forEach(Decision::complete);
  }

  @Override
  public void update(Configuration newConfiguration, int newCapacity) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      capacity = newCapacity;
      if (newConfiguration != configuration) {
        configure(newConfiguration);
      }
      grant(decisions);
    }
    decisions.forEach(Decision::complete);
  }

  /**
   * Counts the waiting requests.
   *
   * @return requests that were neither admitted nor refused yet
   */
  public int waiting() {
    synchronized (lock) {
      return waiting;
    }
  }

  /**
   * Counts the admitted requests.
   *
   * @return requests that were not released yet
   */
  public int running() {
    synchronized (lock) {
      return running;
    }
  }

  private void configure(Configuration newConfiguration) {
    configuration = newConfiguration;
    List<String> order = configuration.rules().workspaceOrder();
    Map<String, Integer> newPriorities = new HashMap<>();
    for (int priority = 0; priority < order.size(); priority++) {
      newPriorities.putIfAbsent(order.get(priority), priority);
    }
    priorities = newPriorities;
    int workspaces = Math.max(1, configuration.inventory().workspaces().size());
    // Minimum shares that add up to more than 100% are reduced to an equal share.
    minimumShare =
        Math.min(configuration.rules().minimumSharePercent() / PERCENT, 1.0 / workspaces);
    backlog.clear();
    for (WorkspaceShare share : List.copyOf(shares.values())) {
      assign(share);
      backlog.add(share);
      dropIfIdleAndUnconfigured(share);
    }
  }

  private WorkspaceShare getOrCreateShare(String workspace) {
    WorkspaceShare share = shares.get(workspace);
    if (share == null) {
      share = new WorkspaceShare(workspace, sequence++);
      assign(share);
      shares.put(workspace, share);
    }
    return share;
  }

  private void assign(WorkspaceShare share) {
    int unlistedPriority = configuration.rules().workspaceOrder().size();
    int weight = configuration.workspace(share.name()).map(Workspace::weight).orElse(1);
    share.assign(priorities.getOrDefault(share.name(), unlistedPriority), weight);
  }

  private void dropIfIdleAndUnconfigured(WorkspaceShare share) {
    if (share.isIdle() && configuration.workspace(share.name()).isEmpty()) {
      shares.remove(share.name());
    }
  }

  private boolean mustRefuse(WorkspaceShare share, long deadlineAtMs) {
    long nowMs = clock.millis();
    boolean full =
        share.waiting().size() >= maxWaitingPerWorkspace
            || waiting >= maxWaiting && !share.waiting().isEmpty();
    return deadlineAtMs <= nowMs || full || nowMs + waitMs(share, deadlineAtMs) > deadlineAtMs;
  }

  /** Estimates the wait of a new request from the measured interval and order of the grants. */
  private double waitMs(WorkspaceShare share, long deadlineAtMs) {
    if (running < capacity && backlog.isEmpty()) {
      return 0;
    }
    long ahead = 0;
    for (WaitingRequest request : share.waiting()) {
      ahead += request.deadlineAtMs() <= deadlineAtMs ? 1 : 0;
    }
    double grantsUntil = backlog.grantsAhead(share, ahead) + 1;
    if (minimumShare > 0) {
      double byMinimum = share.grantsUntilMinimumServes(grants, ahead + 1, 1.0 / minimumShare);
      grantsUntil = Math.min(grantsUntil, byMinimum);
    }
    return grantsUntil * grantInterval.meanMs();
  }

  private void grant(List<Decision> decisions) {
    long nowMs = clock.millis();
    while (running < capacity && !backlog.isEmpty()) {
      WorkspaceShare share = backlog.next(grants, minimumShare > 0);
      boolean byMinimum = minimumShare > 0 && share.isDue(grants);
      backlog.remove(share);
      refuseExpired(share, decisions);
      WaitingRequest request = share.waiting().poll();
      if (request != null) {
        waiting--;
        running++;
        backlog.advance(share, byMinimum);
        share.charge(grants, minimumShare > 0 ? 1.0 / minimumShare : Double.MAX_VALUE);
        grants++;
        decisions.add(new Decision(request.result(), true));
      }
      backlog.add(share);
    }
    if (backlog.isEmpty()) {
      grantInterval.pause();
    } else if (decisions.stream().anyMatch(Decision::isAdmitted)) {
      grantInterval.recordGrant(nowMs);
    }
  }

  private void refuseExpired(WorkspaceShare share, List<Decision> decisions) {
    long nowMs = clock.millis();
    while (!share.waiting().isEmpty() && share.waiting().peek().deadlineAtMs() <= nowMs) {
      decisions.add(new Decision(share.waiting().poll().result(), false));
      waiting--;
    }
  }

  /**
   * Pending completion of a result. It is run after the lock is released, because continuations of
   * the caller run within it.
   *
   * @param result result to complete
   * @param isAdmitted whether the request may run
   */
  private record Decision(CompletableFuture<Boolean> result, boolean isAdmitted) {
    private void complete() {
      result.complete(isAdmitted);
    }
  }
}
