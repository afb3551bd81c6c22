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
 * Model of one upstream. All running requests progress together, slower the more there are;
 * requests beyond the slots queue, and requests beyond the queue are refused.
 */
final class UpstreamModel {

  /** Time for one token of a request that runs alone. */
  static final double TOKEN_MS = 12;

  /** Work below this is done. */
  static final double ROUNDING_MS = 1e-6;

  private static final double ENGINE_SLOWDOWN = 0.12;
  private static final double OTHER_SLOWDOWN = 0.05;
  private static final int QUEUE_PER_SLOT = 2;
  private static final int CACHED_PREFIXES = 14;
  private static final double CACHED_PROMPT_SHARE = 0.2;
  private static final double RESTART_MS = 6_000;
  private static final double COLD_SLOWDOWN = 1.5;
  private static final double REFUSE_MS = 1;

  private final EventQueue queue;
  private final String id;
  private final String dataCentre;
  private final Service service;
  private final RunResult result;
  private final List<Work> running = new ArrayList<>();
  private final ArrayDeque<Work> waiting = new ArrayDeque<>();
  private final LinkedHashSet<Long> cache = new LinkedHashSet<>();
  private Consumer<CacheEvent> cacheListener = event -> {};
  private double advancedAtMs;
  private long version;
  private double slowFactor = 1;
  private boolean failing;
  private boolean down;
  private boolean cold;
  private boolean refusesWhenCold;
  private double coldSinceMs;
  private long incarnation = 1;
  private long sequence;
  private long cacheSequence;

  /**
   * Creates a warm upstream.
   *
   * @param queue event queue
   * @param id identity
   * @param dataCentre data centre
   * @param service its service
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
   * Returns the identity.
   *
   * @return identity
   */
  String id() {
    return id;
  }

  /**
   * Returns the data centre.
   *
   * @return data centre
   */
  String dataCentre() {
    return dataCentre;
  }

  /**
   * Returns the service.
   *
   * @return its service
   */
  Service service() {
    return service;
  }

  /**
   * Sets the receiver of cache events.
   *
   * @param listener the receiver
   */
  void setCacheListener(Consumer<CacheEvent> listener) {
    cacheListener = listener;
  }

  /**
   * Makes all work slower.
   *
   * @param factor factor on the time; 1 is normal
   */
  void setSlowFactor(double factor) {
    advance();
    slowFactor = factor;
    scheduleNext();
  }

  /**
   * Makes the answer of every request get lost, or stops that.
   *
   * @param isFailing whether answers get lost
   */
  void setFailing(boolean isFailing) {
    failing = isFailing;
  }

  /** Kills all requests; the upstream comes back cold after the restart time. */
  void restart() {
    advance();
    down = true;
    cold = false;
    cache.clear();
    List<Work> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    version++;
    lost.forEach(work -> end(work, AttemptResult.FAILED));
    queue.after(
        RESTART_MS,
        () -> {
          down = false;
          incarnation++;
          cacheSequence = 0;
          becomeCold();
        });
  }

  /** Gets cold without a restart; says so only with its next announcement. */
  void becomeColdSilently() {
    becomeCold();
    refusesWhenCold = true;
  }

  private void becomeCold() {
    advance();
    cold = true;
    refusesWhenCold = false;
    coldSinceMs = queue.sinceStartMs();
    scheduleNext();
  }

  /**
   * Computes what the upstream bears now.
   *
   * @return requests at once
   */
  int bears() {
    if (!cold) {
      return service.slots() * (1 + QUEUE_PER_SLOT);
    }
    long steps = (long) ((queue.sinceStartMs() - coldSinceMs) / service.rampStepMs());
    int bears = service.coldLimit() << Math.min(10, steps);
    cold = bears < service.slots();
    return cold ? bears : bears();
  }

  /**
   * Returns the announcement of the upstream.
   *
   * @return the record, or null while it is down
   */
  Upstream announcement() {
    if (down) {
      return null;
    }
    bears();
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
   * Returns a snapshot of the cache.
   *
   * @return cached prefixes
   */
  Set<Long> cachedPrefixes() {
    return Set.copyOf(cache);
  }

  /**
   * Returns the number of the last cache event.
   *
   * @return sequence number
   */
  long cacheSequence() {
    return cacheSequence;
  }

  /**
   * Returns the incarnation.
   *
   * @return incarnation
   */
  long incarnation() {
    return incarnation;
  }

  /**
   * Receives a request.
   *
   * @param work the request
   */
  void submit(Work work) {
    advance();
    if (failing) {
      result.recordExecution(service.name(), work.requestId());
    }
    if (down || failing) {
      queue.after(REFUSE_MS, () -> end(work, AttemptResult.FAILED));
      return;
    }
    int load = running.size() + waiting.size() + 1;
    int bears = bears();
    if (cold && load > bears) {
      result.recordColdOverload();
    }
    if (cold && !refusesWhenCold) {
      result.recordColdLoad((double) load / bears);
      if (load > bears) {
        result.recordColdCrash();
        queue.after(REFUSE_MS, () -> end(work, AttemptResult.FAILED));
        restart();
        return;
      }
    } else if (load > bears) {
      queue.after(REFUSE_MS, () -> end(work, AttemptResult.REFUSED));
      return;
    }
    result.recordExecution(service.name(), work.requestId());
    waiting.add(work);
    startWaiting();
    scheduleNext();
  }

  /**
   * Stops a request.
   *
   * @param work the request
   */
  void cancel(Work work) {
    advance();
    if (running.remove(work) || waiting.remove(work)) {
      end(work, AttemptResult.CANCELLED);
      startWaiting();
      scheduleNext();
    }
  }

  private void startWaiting() {
    while (!waiting.isEmpty() && running.size() < service.slots()) {
      Work work = waiting.poll();
      if (work.prefixHash() != 0) {
        if (cache.contains(work.prefixHash())) {
          work.reducePrompt(CACHED_PROMPT_SHARE);
        }
        remember(work.prefixHash());
      }
      running.add(work);
    }
  }

  private void remember(long prefix) {
    boolean isNew = !cache.remove(prefix);
    cache.add(prefix);
    if (isNew) {
      publish(CacheEvent.Kind.STORED, prefix);
      if (cache.size() > CACHED_PREFIXES) {
        Iterator<Long> oldest = cache.iterator();
        long evicted = oldest.next();
        oldest.remove();
        publish(CacheEvent.Kind.EVICTED, evicted);
      }
    }
  }

  private void publish(CacheEvent.Kind kind, long prefix) {
    cacheListener.accept(new CacheEvent(id, incarnation, ++cacheSequence, kind, prefix));
  }

  private double timePerWork() {
    double perRequest = service.kind() == ServiceKind.ENGINE ? ENGINE_SLOWDOWN : OTHER_SLOWDOWN;
    double batch = 1 + perRequest * Math.max(0, running.size() - 1);
    double coldness = cold ? 1 + COLD_SLOWDOWN * (1 - (double) bears() / service.slots()) : 1;
    return batch * slowFactor * Math.max(1, coldness);
  }

  private void advance() {
    double nowMs = queue.sinceStartMs();
    double doneMs = (nowMs - advancedAtMs) / timePerWork();
    advancedAtMs = nowMs;
    if (doneMs > 0) {
      for (Work work : running) {
        if (work.advance(doneMs)) {
          queue.after(0, work.listener()::firstByte);
        }
      }
    }
    List<Work> done = running.stream().filter(Work::isDone).toList();
    if (!done.isEmpty()) {
      running.removeAll(done);
      done.forEach(work -> end(work, AttemptResult.SUCCESS));
      startWaiting();
    }
  }

  private void scheduleNext() {
    version++;
    long expected = version;
    double nextMs = Double.MAX_VALUE;
    for (Work work : running) {
      nextMs = Math.min(nextMs, work.leftMs() * timePerWork());
    }
    if (nextMs < Double.MAX_VALUE) {
      queue.after(
          Math.max(ROUNDING_MS, nextMs),
          () -> {
            if (version == expected) {
              advance();
              scheduleNext();
            }
          });
    }
  }

  private void end(Work work, AttemptResult outcome) {
    if (work.end()) {
      result.recordTokens(work.generatedTokens());
      queue.after(0, () -> work.listener().ended(outcome));
    }
  }
}
