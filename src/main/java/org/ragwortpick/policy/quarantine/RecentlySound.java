package org.ragwortpick.policy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Times at which the local VM last saw sound responses to requests with a content; bounded. */
final class RecentlySound {

  /** The least recent ones are dropped, which only delays how soon they are cleared. */
  private static final int MAX_CONTENTS = 8_192;

  private final Map<ContentKey, Long> soundAtMs =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<ContentKey, Long> eldest) {
          return size() > MAX_CONTENTS;
        }
      };

  /** Creates an empty record. */
  RecentlySound() {}

  /**
   * Records a sound response.
   *
   * @param service name of the service
   * @param content id of the content
   * @param nowMs monotonic time in milliseconds
   */
  void recordSound(String service, String content, long nowMs) {
    soundAtMs.put(new ContentKey(service, content), nowMs);
  }

  /**
   * Returns whether a sound response was seen since a time.
   *
   * @param service name of the service
   * @param content id of the content
   * @param sinceMs monotonic time in milliseconds
   * @return whether the content is known to be sound
   */
  boolean isSoundSince(String service, String content, long sinceMs) {
    Long lastMs = soundAtMs.get(new ContentKey(service, content));
    return lastMs != null && lastMs >= sinceMs;
  }

  private record ContentKey(String service, String content) {}
}
