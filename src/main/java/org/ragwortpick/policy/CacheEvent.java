package org.ragwortpick.policy;

/**
 * Change of the prefix cache of an engine.
 *
 * @param upstreamId the engine
 * @param incarnation incarnation of the engine; its sequence numbers start again with each
 * @param sequence sequence number, starting at 1 and growing by one
 * @param kind kind of the change
 * @param prefixHash hash of the prefix; 0 if all were dropped
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
