package org.ragwortpick.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prompt prefix cache of limited size with a log of events that has gaps. */
final class PrefixCache {

  private static final int CAPACITY = 64;

  /** Every event with this divisor is lost, so that the sequence has a gap. */
  private static final int LOST_EVENT_INTERVAL = 50;

  private final Map<Long, Boolean> entries = new LinkedHashMap<>(CAPACITY, 0.75f, true);
  private final List<CacheEvent> events = new ArrayList<>();
  private long sequence;

  /**
   * Uses a prefix and keeps it.
   *
   * @param prefixHash hash of the prefix
   * @return true if the prefix was in the cache
   */
  synchronized boolean use(long prefixHash) {
    boolean hit = entries.put(prefixHash, Boolean.TRUE) != null;
    if (!hit) {
      publish("stored", prefixHash);
    }
    if (entries.size() > CAPACITY) {
      long evicted = entries.keySet().iterator().next();
      entries.remove(evicted);
      publish("evicted", evicted);
    }
    return hit;
  }

  /**
   * Returns the events after a sequence number.
   *
   * @param after sequence number of the last event that the caller knows
   * @return later events
   */
  synchronized List<CacheEvent> eventsAfter(long after) {
    return events.stream().filter(event -> event.sequence() > after).toList();
  }

  /**
   * Returns the prefixes in the cache.
   *
   * @return hashes of the prefixes
   */
  synchronized List<Long> snapshot() {
    return List.copyOf(entries.keySet());
  }

  /**
   * Returns the sequence number of the newest event.
   *
   * @return sequence number
   */
  synchronized long sequence() {
    return sequence;
  }

  private void publish(String type, long prefixHash) {
    sequence++;
    if (sequence % LOST_EVENT_INTERVAL != 0) {
      events.add(new CacheEvent(sequence, type, prefixHash));
    }
  }
}
