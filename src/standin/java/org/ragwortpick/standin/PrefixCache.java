package org.ragwortpick.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LRU cache of prompt prefixes whose event log has gaps, as if events were lost. */
final class PrefixCache {

  private static final int MAX_PREFIXES = 64;

  /** Events whose sequence number is a multiple of this are left out of the event log. */
  private static final int LOST_EVENT_INTERVAL = 50;

  private final Map<Long, Boolean> entries = new LinkedHashMap<>(MAX_PREFIXES, 0.75f, true);
  private final List<CacheEvent> events = new ArrayList<>();
  private long sequence;

  /**
   * Looks up a prefix and stores it if it is absent.
   *
   * @param prefixHash hash of the prefix
   * @return true if the prefix was in the cache
   */
  synchronized boolean lookUpAndStore(long prefixHash) {
    boolean hit = entries.put(prefixHash, Boolean.TRUE) != null;
    if (!hit) {
      publishEvent("stored", prefixHash);
    }
    if (entries.size() > MAX_PREFIXES) {
      long evicted = entries.keySet().iterator().next();
      entries.remove(evicted);
      publishEvent("evicted", evicted);
    }
    return hit;
  }

  /**
   * Returns the events after a sequence number.
   *
   * @param after sequence number of the last event that the client has received
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

  private void publishEvent(String type, long prefixHash) {
    sequence++;
    if (sequence % LOST_EVENT_INTERVAL != 0) {
      events.add(new CacheEvent(sequence, type, prefixHash));
    }
  }
}
