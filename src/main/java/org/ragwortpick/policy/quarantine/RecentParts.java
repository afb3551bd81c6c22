package org.ragwortpick.policy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Times at which the local VM last saw parts in requests with a sound response; bounded. */
final class RecentParts {

  /** The least recent parts are dropped, which only delays how soon they are cleared. */
  private static final int MAX_PARTS = 8_192;

  private final Map<PartKey, Long> soundAtMs =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PartKey, Long> eldest) {
          return size() > MAX_PARTS;
        }
      };

  /** Creates an empty record. */
  RecentParts() {}

  /**
   * Records a sound response.
   *
   * @param service name of the service
   * @param part id of the part
   * @param nowMs monotonic time in milliseconds
   */
  void recordSound(String service, String part, long nowMs) {
    soundAtMs.put(new PartKey(service, part), nowMs);
  }

  /**
   * Returns whether a sound response was seen since a time.
   *
   * @param service name of the service
   * @param part id of the part
   * @param sinceMs monotonic time in milliseconds
   * @return whether the part is known to be sound
   */
  boolean isSoundSince(String service, String part, long sinceMs) {
    Long lastMs = soundAtMs.get(new PartKey(service, part));
    return lastMs != null && lastMs >= sinceMs;
  }

  private record PartKey(String service, String part) {}
}
