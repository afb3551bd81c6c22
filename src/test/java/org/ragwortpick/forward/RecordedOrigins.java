package org.ragwortpick.forward;

import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.ragwortpick.origin.StreamOrigins;

/** Keeps the versions of streams in memory, and can defer look-ups as if other VMs were asked. */
final class RecordedOrigins implements StreamOrigins {

  private final Map<String, String> versions = new ConcurrentHashMap<>();
  private final Queue<Runnable> deferred = new ConcurrentLinkedQueue<>();
  private final Queue<Long> lifetimesMs = new ConcurrentLinkedQueue<>();
  private final AtomicInteger lookUps = new AtomicInteger();
  private volatile boolean defers;

  @Override
  public void record(String requestId, String version, long lifetimeMs) {
    versions.put(requestId, version);
    lifetimesMs.add(lifetimeMs);
  }

  @Override
  public void find(String requestId, Consumer<Optional<String>> found) {
    lookUps.incrementAndGet();
    if (defers) {
      deferred.add(() -> found.accept(Optional.ofNullable(versions.get(requestId))));
    } else {
      found.accept(Optional.ofNullable(versions.get(requestId)));
    }
  }

  /** Lets look-ups end by {@link #endLookUps} only. */
  void deferLookUps() {
    defers = true;
  }

  /** Ends the deferred look-ups on the calling thread; returns how many there were. */
  int endLookUps() {
    int ended = 0;
    for (Runnable next = deferred.poll(); next != null; next = deferred.poll()) {
      next.run();
      ended++;
    }
    return ended;
  }

  /** Returns the version that was recorded last for a request. */
  Optional<String> versionOf(String requestId) {
    return Optional.ofNullable(versions.get(requestId));
  }

  /** Loses all records. */
  void clear() {
    versions.clear();
  }

  /** Returns the number of records since the start. */
  int records() {
    return lifetimesMs.size();
  }

  /** Returns the number of look-ups since the start. */
  int lookUps() {
    return lookUps.get();
  }
}
