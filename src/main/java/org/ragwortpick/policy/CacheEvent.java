package org.ragwortpick.policy;

/**
 * Change of the prefix cache of an engine.
 *
 * @param upstreamId id of the engine
 * @param incarnation incarnation of the engine; each incarnation numbers its events from 1
 * @param sequence sequence number, 1 more than that of the previous event
 * @param kind kind of the change
 * @param prefixHash hash of the prefix; 0 for {@link Kind#CLEARED}
 */
public record CacheEvent(
    String upstreamId, long incarnation, long sequence, Kind kind, long prefixHash) {

  /** Kind of a change. */
  public enum Kind {
    /** The engine stored the prefix. */
    STORED,
    /** The engine evicted the prefix. */
    EVICTED,
    /** The engine dropped all prefixes. */
    CLEARED
  }
}
