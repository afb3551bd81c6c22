package org.ragwortpick.policy.admission;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

/**
 * Estimates how long a request takes on its whole path through stage services, from their last
 * known backlogs and from the work that was admitted here and has not reached them yet. Free of
 * I/O; confined to one thread.
 *
 * <p>Made for a service whose capacity is exhausted for seconds: the queue of a later stage then
 * grows a second after the requests that fill it were admitted, too late for refusals by its length
 * alone.
 */
public final class PathAdmission {

  /** Part of the capacity that less urgent work gets in any case. */
  private static final double MIN_CAPACITY_PART = 0.1;

  private final BooleanSupplier inForce;
  private final Clock clock;
  private final StageBacklogs backlogs;
  private final Map<String, Inbound> inboundByService = new HashMap<>();
  private final Map<String, List<Arrival>> arrivalsByRequest = new HashMap<>();
  private long nextNumber;

  /**
   * Creates an instance without announced work.
   *
   * @param inForce whether overload control is in force
   * @param clock monotonic clock
   */
  public PathAdmission(BooleanSupplier inForce, Clock clock) {
    this.inForce = inForce;
    this.clock = clock;
    this.backlogs = new StageBacklogs(clock);
  }

  /**
   * Returns whether overload control is in force.
   *
   * @return false if requests are served as without it
   */
  public boolean isInForce() {
    return inForce.getAsBoolean();
  }

  /**
   * Returns the known backlogs.
   *
   * @return backlogs of the stage services
   */
  public StageBacklogs backlogs() {
    return backlogs;
  }

  /**
   * Estimates the path of a request.
   *
   * @param stage position of the submitted stage
   * @param waitMs expected wait of the submitted stage in milliseconds
   * @param callMs expected duration of the submitted stage in milliseconds
   * @param owner priority and workspace of the request
   * @param path what follows the submitted stage
   * @return the expected times
   */
  public PathEstimate estimate(
      int stage, long waitMs, long callMs, WorkOwner owner, RequestPath path) {
    List<Passage> passages = passages(stage, waitMs, callMs, owner, path);
    long endMs = 0;
    long endWithoutWaitsMs = 0;
    for (Passage passage : passages) {
      endMs = Math.max(endMs, passage.endMs());
      endWithoutWaitsMs = Math.max(endWithoutWaitsMs, passage.endWithoutWaitsMs());
    }
    return new PathEstimate(endMs - endWithoutWaitsMs, endMs + path.responseMs());
  }

  /**
   * Returns the time from the end of a stage to the response if nothing waits.
   *
   * @param stage position of the stage
   * @param path what follows the stage
   * @return time in milliseconds, by the measured durations of calls where they are known
   */
  public long followingMs(int stage, RequestPath path) {
    Map<Integer, Long> endsMs = new HashMap<>(Map.of(stage, 0L));
    for (PathStage next : path.following()) {
      long readyMs =
          next.after().stream()
              .mapToLong(before -> endsMs.getOrDefault(before, 0L))
              .max()
              .orElse(0);
      endsMs.put(next.stage(), readyMs + callMs(next));
    }
    return endsMs.values().stream().mapToLong(Long::longValue).max().orElse(0) + path.responseMs();
  }

  private long callMs(PathStage stage) {
    return Math.max(
        stage.callMs(), backlogs.find(stage.service()).map(StageBacklog::callMs).orElse(0L));
  }

  private List<Passage> passages(
      int stage, long waitMs, long callMs, WorkOwner owner, RequestPath path) {
    long nowMs = clock.millis();
    List<Passage> passages = new ArrayList<>();
    passages.add(new Passage(stage, waitMs, waitMs + callMs, callMs));
    for (PathStage next : path.following()) {
      long readyMs = 0;
      long readyWithoutWaitsMs = 0;
      for (Passage before : passages) {
        if (next.after().contains(before.stage())) {
          readyMs = Math.max(readyMs, before.endMs());
          readyWithoutWaitsMs = Math.max(readyWithoutWaitsMs, before.endWithoutWaitsMs());
        }
      }
      long nextCallMs = callMs(next);
      long nextWaitMs = waitMs(next.service(), owner, nowMs + readyMs);
      passages.add(
          new Passage(
              next.stage(),
              readyMs,
              readyMs + nextWaitMs + nextCallMs,
              readyWithoutWaitsMs + nextCallMs));
    }
    return passages;
  }

  /**
   * Returns the expected wait of work that reaches a service later.
   *
   * @param service name of the service
   * @param owner priority and workspace of the work
   * @param atMs monotonic time in milliseconds at which it reaches the service
   * @return time in milliseconds; 0 if the backlog of the service is not known
   */
  long waitMs(String service, WorkOwner owner, long atMs) {
    StageBacklog backlog = backlogs.find(service).orElse(null);
    if (backlog == null || backlog.piecesPerMs() <= 0) {
      return 0;
    }
    Inbound inbound = inboundByService.computeIfAbsent(service, name -> new Inbound(clock));
    double urgent = 0;
    double equal = 0;
    for (Map.Entry<Integer, Integer> queued : backlog.queuedPieces().entrySet()) {
      urgent += queued.getKey() < owner.priority() ? queued.getValue() : 0;
      equal += queued.getKey() == owner.priority() ? queued.getValue() : 0;
    }
    long untilMs = backlog.measuredAtMs();
    for (Arrival arrival : inbound.after(backlog.measuredAtMs())) {
      if (arrival.atMs() > atMs) {
        break;
      }
      if (arrival.owner().priority() <= owner.priority()) {
        double drained = backlog.piecesPerMs() * (arrival.atMs() - untilMs);
        equal = Math.max(0, equal - Math.max(0, drained - urgent));
        urgent = Math.max(0, urgent - drained);
        untilMs = arrival.atMs();
        boolean isEqual = arrival.owner().priority() == owner.priority();
        equal += isEqual ? arrival.pieces() : 0;
        urgent += isEqual ? 0 : arrival.pieces();
      }
    }
    double drained = backlog.piecesPerMs() * Math.max(0, atMs - untilMs);
    equal = Math.max(0, equal - Math.max(0, drained - urgent));
    urgent = Math.max(0, urgent - drained);
    double ahead = urgent + equal * inbound.shares.fairPartAhead(owner);
    double moreUrgentPerMs =
        Math.max(
            backlog.moreUrgentPerMs(owner.priority()),
            inbound.shares.moreUrgentPerMs(owner.priority()));
    return (long) (ahead / freePiecesPerMs(backlog.piecesPerMs(), moreUrgentPerMs));
  }

  /**
   * Returns the capacity that is left for work of a priority.
   *
   * @param piecesPerMs whole capacity in pieces per millisecond
   * @param moreUrgentPerMs recent rate of more urgent work in pieces per millisecond
   * @return pieces per millisecond
   */
  public static double freePiecesPerMs(double piecesPerMs, double moreUrgentPerMs) {
    return Math.max(MIN_CAPACITY_PART * piecesPerMs, piecesPerMs - moreUrgentPerMs);
  }

  /**
   * Records that a request was admitted, so that its later stages count as coming work.
   *
   * @param requestId id of the request
   * @param stage position of the submitted stage
   * @param waitMs expected wait of the submitted stage in milliseconds
   * @param callMs expected duration of the submitted stage in milliseconds
   * @param owner priority and workspace of the request
   * @param path what follows the submitted stage
   */
  public void announce(
      String requestId, int stage, long waitMs, long callMs, WorkOwner owner, RequestPath path) {
    long nowMs = clock.millis();
    List<Passage> passages = passages(stage, waitMs, callMs, owner, path);
    // Another stage of the request without inputs may have announced the same stages.
    withdraw(requestId);
    List<Arrival> arrivals = new ArrayList<>();
    for (int i = 0; i < path.following().size(); i++) {
      PathStage next = path.following().get(i);
      Arrival arrival =
          new Arrival(
              nowMs + passages.get(i + 1).readyMs(),
              nextNumber++,
              requestId,
              next.service(),
              owner,
              next.pieceCount());
      arrivals.add(arrival);
      inboundByService.computeIfAbsent(next.service(), name -> new Inbound(clock)).add(arrival);
    }
    if (!arrivals.isEmpty()) {
      arrivalsByRequest.put(requestId, arrivals);
    }
    inboundByService.values().forEach(inbound -> inbound.removePast(nowMs, arrivalsByRequest));
  }

  /**
   * Returns the number of requests with announced work.
   *
   * @return number of requests that were admitted here and have later stages ahead
   */
  public int announcedRequests() {
    return arrivalsByRequest.size();
  }

  /**
   * Removes the later stages of a request that was not served.
   *
   * @param requestId id of the request
   */
  public void withdraw(String requestId) {
    List<Arrival> arrivals = arrivalsByRequest.remove(requestId);
    if (arrivals != null) {
      arrivals.forEach(arrival -> inboundByService.get(arrival.service()).remove(arrival));
    }
  }

  /**
   * Removes one announced stage that has reached its collector on this VM, whose queue holds it
   * now.
   *
   * @param requestId id of the request
   * @param service service of the stage
   */
  public void recordArrival(String requestId, String service) {
    List<Arrival> arrivals = arrivalsByRequest.get(requestId);
    if (arrivals != null) {
      arrivals.stream()
          .filter(arrival -> arrival.service().equals(service))
          .min(Comparator.comparingLong(Arrival::atMs))
          .ifPresent(
              arrival -> {
                arrivals.remove(arrival);
                inboundByService.get(service).arrivals.remove(arrival);
              });
      if (arrivals.isEmpty()) {
        arrivalsByRequest.remove(requestId);
      }
    }
  }

  /**
   * Counts the announced pieces that reach a service soon and go before new work of a priority.
   *
   * @param service name of the service
   * @param priority priority of the new work
   * @param withinMs time in which they arrive in milliseconds
   * @return number of pieces of this priority and of more urgent ones
   */
  public long countComing(String service, int priority, long withinMs) {
    Inbound inbound = inboundByService.get(service);
    if (inbound == null) {
      return 0;
    }
    long nowMs = clock.millis();
    long pieces = 0;
    for (Arrival arrival : inbound.after(nowMs)) {
      if (arrival.atMs() > nowMs + withinMs) {
        break;
      }
      pieces += arrival.owner().priority() <= priority ? arrival.pieces() : 0;
    }
    return pieces;
  }

  /**
   * Passage of a request through a stage.
   *
   * @param stage position of the stage
   * @param readyMs time until the stage is submitted in milliseconds
   * @param endMs time until it ends in milliseconds
   * @param endWithoutWaitsMs time until it ended if nothing waited in milliseconds
   */
  private record Passage(int stage, long readyMs, long endMs, long endWithoutWaitsMs) {}

  private record Arrival(
      long atMs, long number, String requestId, String service, WorkOwner owner, int pieces) {}

  /** Admitted work that has not reached a service yet. */
  private static final class Inbound {

    /** Time for which past arrivals are kept: the age up to which a backlog may precede them. */
    private static final long MAX_AGE_MS = 1_500;

    private final TreeSet<Arrival> arrivals =
        new TreeSet<>(Comparator.comparingLong(Arrival::atMs).thenComparingLong(Arrival::number));
    private final ServedShares shares;

    private Inbound(Clock clock) {
      this.shares = new ServedShares(clock);
    }

    private void add(Arrival arrival) {
      arrivals.add(arrival);
      shares.add(arrival.owner(), arrival.pieces());
    }

    private Iterable<Arrival> after(long atMs) {
      Arrival last = new Arrival(atMs, Long.MAX_VALUE, "", "", new WorkOwner(0, ""), 0);
      return arrivals.tailSet(last, false);
    }

    private void remove(Arrival arrival) {
      if (arrivals.remove(arrival)) {
        shares.add(arrival.owner(), -arrival.pieces());
      }
    }

    private void removePast(long nowMs, Map<String, List<Arrival>> byRequest) {
      while (!arrivals.isEmpty() && arrivals.first().atMs() < nowMs - MAX_AGE_MS) {
        Arrival past = arrivals.pollFirst();
        List<Arrival> ofRequest = byRequest.getOrDefault(past.requestId(), new ArrayList<>());
        ofRequest.remove(past);
        if (ofRequest.isEmpty()) {
          byRequest.remove(past.requestId());
        }
      }
    }
  }
}
