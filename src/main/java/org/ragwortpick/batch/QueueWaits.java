package org.ragwortpick.batch;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.proto.QueueWait;

/**
 * Expected waits in the queues of the collectors of all services. Each reply of a collector carries
 * the recent waits in its own table, so the newest measurement of each queue spreads with the
 * replies. Confined to one thread.
 */
final class QueueWaits {

  /** Maximum age at which a wait is used and passed on. */
  private static final long MAX_AGE_MS = 1_500;

  private final Clock clock;
  private final Map<QueueKey, Wait> waits = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param clock monotonic clock
   */
  QueueWaits(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records the current wait of a queue.
   *
   * @param service name of the service
   * @param priority priority of the request, 0 is the most urgent
   * @param waitMs wait in milliseconds
   */
  void put(String service, int priority, long waitMs) {
    waits.put(new QueueKey(service, priority), new Wait(waitMs, clock.millis()));
  }

  /**
   * Merges the waits received from another VM; the newer wait of each queue is kept.
   *
   * @param received waits of the other VM
   */
  void merge(List<QueueWait> received) {
    long nowMs = clock.millis();
    for (QueueWait wait : received) {
      waits.merge(
          new QueueKey(wait.getService(), wait.getPriority()),
          new Wait(wait.getWaitMs(), nowMs - wait.getAgeMs()),
          (current, other) -> other.measuredAtMs() > current.measuredAtMs() ? other : current);
    }
  }

  /**
   * Removes outdated waits and returns the others.
   *
   * @return waits to pass on
   */
  List<QueueWait> recentWaits() {
    long nowMs = clock.millis();
    waits.values().removeIf(wait -> nowMs - wait.measuredAtMs() > MAX_AGE_MS);
    List<QueueWait> recent = new ArrayList<>();
    waits.forEach(
        (queue, wait) ->
            recent.add(
                QueueWait.newBuilder()
                    .setService(queue.service())
                    .setPriority(queue.priority())
                    .setWaitMs(wait.waitMs())
                    .setAgeMs(nowMs - wait.measuredAtMs())
                    .build()));
    return recent;
  }

  /**
   * Returns the least expected wait in a queue. More urgent requests wait no longer than others, so
   * the waits of all priorities up to the given one count.
   *
   * @param service name of the service
   * @param priority priority of the request, 0 is the most urgent
   * @return wait in milliseconds; 0 if no recent wait is recorded
   */
  long expectedWaitMs(String service, int priority) {
    long nowMs = clock.millis();
    return waits.entrySet().stream()
        .filter(entry -> entry.getKey().service().equals(service))
        .filter(entry -> entry.getKey().priority() <= priority)
        .filter(entry -> nowMs - entry.getValue().measuredAtMs() <= MAX_AGE_MS)
        .mapToLong(entry -> entry.getValue().waitMs())
        .max()
        .orElse(0);
  }

  private record QueueKey(String service, int priority) {}

  private record Wait(long waitMs, long measuredAtMs) {}
}
