package org.ragwortpick.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.CacheEvent;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/**
 * Model of one upstream. Running requests share the upstream, so each of them progresses more
 * slowly the more there are. Requests beyond the slots wait in a queue, and requests beyond the
 * queue are refused.
 */
final class UpstreamModel {

  /** Time for one token of a request that runs alone, in milliseconds. */
  static final double TOKEN_MS = 12;

  /** Remaining work below this counts as done, because of rounding errors. */
  static final double WORK_TOLERANCE_MS = 1e-6;

  private static final double ENGINE_SLOWDOWN_PER_REQUEST = 0.12;
  private static final double OTHER_SLOWDOWN_PER_REQUEST = 0.05;
  private static final int QUEUE_PER_SLOT = 2;
  private static final int MAX_CACHED_PREFIXES = 14;
  private static final double CACHED_PROMPT_WORK_SHARE = 0.2;
  private static final double RESTART_MS = 6_000;
  private static final double MAX_COLD_SLOWDOWN = 1.5;
  private static final double ERROR_RESPONSE_MS = 1;

  private final EventQueue queue;
  private final String id;
  private final String dataCentre;
  private final Service service;
  private final RunResult result;
  private final List<UpstreamRequest> running = new ArrayList<>();
  private final ArrayDeque<UpstreamRequest> waiting = new ArrayDeque<>();
  private final LinkedHashSet<Long> cachedPrefixes = new LinkedHashSet<>();
  private Consumer<CacheEvent> cacheListener = event -> {};
  private double advancedAtMs;
  private long scheduleVersion;
  private double slowFactor = 1;
  private boolean losesResponses;
  private boolean down;
  private boolean cold;
  private boolean refusesWhileCold;
  private double coldSinceMs;
  private long incarnation = 1;
  private long sequence;
  private long cacheSequence;

  /**
   * Creates a warm upstream.
   *
   * @param queue event queue
   * @param id id of the upstream
   * @param dataCentre data centre of the upstream
   * @param service service of the upstream
   * @param result counters of the run
   */
  UpstreamModel(EventQueue queue, String id, String dataCentre, Service service, RunResult result) {
    this.queue = queue;
    this.id = id;
    this.dataCentre = dataCentre;
    this.service = service;
    this.result = result;
  }

  /**
   * Returns the id of the upstream.
   *
   * @return the id
   */
  String id() {
    return id;
  }

  /**
   * Returns the data centre of the upstream.
   *
   * @return name of the data centre
   */
  String dataCentre() {
    return dataCentre;
  }

  /**
   * Returns the service of the upstream.
   *
   * @return the service
   */
  Service service() {
    return service;
  }

  /**
   * Sets the listener that receives the events of the prefix cache.
   *
   * @param listener the listener, which replaces the previous one
   */
  void setCacheListener(Consumer<CacheEvent> listener) {
    cacheListener = listener;
  }

  /**
   * Sets the factor by which all requests run slower.
   *
   * @param factor factor on the execution time; 1 is normal
   */
  void setSlowFactor(double factor) {
    advanceToNow();
    slowFactor = factor;
    scheduleNextAdvance();
  }

  /**
   * Sets whether requests run but fail because their responses are lost.
   *
   * @param losesResponses whether responses are lost
   */
  void setLosesResponses(boolean losesResponses) {
    this.losesResponses = losesResponses;
  }

  /** Fails all requests. The upstream is down for the restart time and cold afterwards. */
  void restart() {
    advanceToNow();
    down = true;
    cold = false;
    cachedPrefixes.clear();
    List<UpstreamRequest> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    scheduleVersion++;
    lost.forEach(request -> end(request, AttemptResult.FAILED));
    queue.schedule(
        RESTART_MS,
        () -> {
          down = false;
          incarnation++;
          cacheSequence = 0;
          becomeCold();
        });
  }

  /**
   * Makes the upstream cold without a restart. It refuses requests beyond its capacity instead of
   * crashing, and reports its state only in its next announcement.
   */
  void becomeColdSilently() {
    becomeCold();
    refusesWhileCold = true;
  }

  private void becomeCold() {
    advanceToNow();
    cold = true;
    refusesWhileCold = false;
    coldSinceMs = queue.sinceStartMs();
    scheduleNextAdvance();
  }

  /**
   * Marks the upstream as warm if its ramp is complete, and returns its capacity.
   *
   * @return requests that the upstream accepts at once, running and waiting
   */
  int updateCapacity() {
    if (!cold) {
      return service.slots() * (1 + QUEUE_PER_SLOT);
    }
    long completedSteps = (long) ((queue.sinceStartMs() - coldSinceMs) / service.rampStepMs());
    int coldCapacity = service.coldLimit() << Math.min(10, completedSteps);
    cold = coldCapacity < service.slots();
    return cold ? coldCapacity : updateCapacity();
  }

  /**
   * Creates the next announcement of the upstream.
   *
   * @return the announcement; null while the upstream is down
   */
  Upstream announcement() {
    if (down) {
      return null;
    }
    updateCapacity();
    return new Upstream(
        id,
        incarnation,
        ++sequence,
        new HostPort("10.0.0.1", 1),
        dataCentre,
        service.name(),
        "m",
        "1",
        List.of(),
        cold ? UpstreamState.COLD : UpstreamState.READY,
        service.slots(),
        service.coldLimit(),
        running.size() + waiting.size(),
        true);
  }

  /**
   * Returns a snapshot of the prefix cache.
   *
   * @return hashes of the cached prefixes
   */
  Set<Long> cachedPrefixes() {
    return Set.copyOf(cachedPrefixes);
  }

  /**
   * Returns the sequence number of the last cache event.
   *
   * @return sequence number; 0 before the first event
   */
  long cacheSequence() {
    return cacheSequence;
  }

  /**
   * Returns the incarnation of the upstream.
   *
   * @return number that increases with each restart
   */
  long incarnation() {
    return incarnation;
  }

  /**
   * Accepts a request, or fails it. A cold upstream may crash if it is overloaded.
   *
   * @param request the request
   */
  void submit(UpstreamRequest request) {
    advanceToNow();
    if (losesResponses) {
      result.recordExecution(service.name(), request.requestId());
    }
    if (down || losesResponses) {
      queue.schedule(ERROR_RESPONSE_MS, () -> end(request, AttemptResult.FAILED));
      return;
    }
    int load = running.size() + waiting.size() + 1;
    int capacity = updateCapacity();
    if (cold && load > capacity) {
      result.recordColdOverload();
    }
    if (cold && !refusesWhileCold) {
      result.recordColdLoad((double) load / capacity);
      if (load > capacity) {
        result.recordColdCrash();
        queue.schedule(ERROR_RESPONSE_MS, () -> end(request, AttemptResult.FAILED));
        restart();
        return;
      }
    } else if (load > capacity) {
      queue.schedule(ERROR_RESPONSE_MS, () -> end(request, AttemptResult.REFUSED));
      return;
    }
    result.recordExecution(service.name(), request.requestId());
    waiting.add(request);
    startWaiting();
    scheduleNextAdvance();
  }

  /**
   * Cancels a request; does nothing if it has ended.
   *
   * @param request the request
   */
  void cancel(UpstreamRequest request) {
    advanceToNow();
    if (running.remove(request) || waiting.remove(request)) {
      end(request, AttemptResult.CANCELLED);
      startWaiting();
      scheduleNextAdvance();
    }
  }

  private void startWaiting() {
    while (!waiting.isEmpty() && running.size() < service.slots()) {
      UpstreamRequest request = waiting.poll();
      if (request.prefixHash() != 0) {
        if (cachedPrefixes.contains(request.prefixHash())) {
          request.reducePromptWork(CACHED_PROMPT_WORK_SHARE);
        }
        cachePrefix(request.prefixHash());
      }
      running.add(request);
    }
  }

  private void cachePrefix(long prefix) {
    boolean isNew = !cachedPrefixes.remove(prefix);
    cachedPrefixes.add(prefix);
    if (isNew) {
      publish(CacheEvent.Kind.STORED, prefix);
      if (cachedPrefixes.size() > MAX_CACHED_PREFIXES) {
        Iterator<Long> oldest = cachedPrefixes.iterator();
        long evicted = oldest.next();
        oldest.remove();
        publish(CacheEvent.Kind.EVICTED, evicted);
      }
    }
  }

  private void publish(CacheEvent.Kind kind, long prefix) {
    cacheListener.accept(new CacheEvent(id, incarnation, ++cacheSequence, kind, prefix));
  }

  private double slowdown() {
    double slowdownPerRequest =
        service.kind() == ServiceKind.ENGINE
            ? ENGINE_SLOWDOWN_PER_REQUEST
            : OTHER_SLOWDOWN_PER_REQUEST;
    double batchFactor = 1 + slowdownPerRequest * Math.max(0, running.size() - 1);
    double coldFactor =
        cold ? 1 + MAX_COLD_SLOWDOWN * (1 - (double) updateCapacity() / service.slots()) : 1;
    return batchFactor * slowFactor * Math.max(1, coldFactor);
  }

  private void advanceToNow() {
    double nowMs = queue.sinceStartMs();
    double doneMs = (nowMs - advancedAtMs) / slowdown();
    advancedAtMs = nowMs;
    if (doneMs > 0) {
      for (UpstreamRequest request : running) {
        if (request.advance(doneMs)) {
          queue.schedule(0, request.listener()::onFirstByte);
        }
      }
    }
    List<UpstreamRequest> completed = running.stream().filter(UpstreamRequest::isDone).toList();
    if (!completed.isEmpty()) {
      running.removeAll(completed);
      completed.forEach(request -> end(request, AttemptResult.SUCCESS));
      startWaiting();
    }
  }

  private void scheduleNextAdvance() {
    scheduleVersion++;
    long scheduledVersion = scheduleVersion;
    double nextMs = Double.MAX_VALUE;
    for (UpstreamRequest request : running) {
      nextMs = Math.min(nextMs, request.remainingPhaseMs() * slowdown());
    }
    if (nextMs < Double.MAX_VALUE) {
      queue.schedule(
          Math.max(WORK_TOLERANCE_MS, nextMs),
          () -> {
            if (scheduleVersion == scheduledVersion) {
              advanceToNow();
              scheduleNextAdvance();
            }
          });
    }
  }

  private void end(UpstreamRequest request, AttemptResult outcome) {
    if (request.markEnded()) {
      result.recordTokens(request.generatedTokens());
      queue.schedule(0, () -> request.listener().onEnd(outcome));
    }
  }
}
