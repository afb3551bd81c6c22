package org.ragwortpick.batch;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.proto.QueueWait;

/**
 * Expected waits in the queues of all services, as far as the local VM has learnt them. Each reply
 * of a collector carries what that VM knows, so the newest statement of each queue spreads with the
 * work itself. Confined to one thread.
 */
final class QueueWaits {

  /** Age in milliseconds up to which a statement is passed on and believed. */
  private static final long VALID_MS = 1_500;

  private final Clock clock;
  private final Map<Queue, Wait> waits = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param clock monotonic clock
   */
  QueueWaits(Clock clock) {
    this.clock = clock;
  }

  /**
   * Notes the wait of a queue as of now.
   *
   * @param service name of the service
   * @param priority rank, 0 first
   * @param waitMs wait in milliseconds
   */
  void note(String service, int priority, long waitMs) {
    waits.put(new Queue(service, priority), new Wait(waitMs, clock.millis()));
  }

  /**
   * Takes what another VM knows.
   *
   * @param learnt its statements
   */
  void merge(List<QueueWait> learnt) {
    long nowMs = clock.millis();
    for (QueueWait wait : learnt) {
      waits.merge(
          new Queue(wait.getService(), wait.getPriority()),
          new Wait(wait.getWaitMs(), nowMs - wait.getAgeMs()),
          (known, newer) -> newer.atMs() > known.atMs() ? newer : known);
    }
  }

  /**
   * Lists what is known.
   *
   * @return recent statements
   */
  List<QueueWait> known() {
    long nowMs = clock.millis();
    waits.values().removeIf(wait -> nowMs - wait.atMs() > VALID_MS);
    List<QueueWait> known = new ArrayList<>();
    waits.forEach(
        (queue, wait) ->
            known.add(
                QueueWait.newBuilder()
                    .setService(queue.service())
                    .setPriority(queue.priority())
                    .setWaitMs(wait.waitMs())
                    .setAgeMs(nowMs - wait.atMs())
                    .build()));
    return known;
  }

  /**
   * Returns the wait of a queue.
   *
   * @param service name of the service
   * @param priority rank, 0 first
   * @return wait in milliseconds; 0 if nothing recent is known
   */
  long expectedMs(String service, int priority) {
    Wait wait = waits.get(new Queue(service, priority));
    boolean recent = wait != null && clock.millis() - wait.atMs() <= VALID_MS;
    return recent ? wait.waitMs() : 0;
  }

  private record Queue(String service, int priority) {}

  private record Wait(long waitMs, long atMs) {}
}
