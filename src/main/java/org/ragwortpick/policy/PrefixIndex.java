package org.ragwortpick.policy;

import java.util.List;
import java.util.Set;

/** Index of the prompt prefixes that engines hold in their caches. */
public interface PrefixIndex {

  /**
   * Records that an engine answered a prompt, so that it probably holds the prefix.
   *
   * @param upstreamId the engine
   * @param prefixHash hash of the prefix; 0 is ignored
   */
  void recordAnswer(String upstreamId, long prefixHash);

  /**
   * Applies a cache event. An event that does not follow the last one by exactly one clears the
   * part of the engine, which then takes no events until a snapshot is applied.
   *
   * @param event the event
   * @return false if a snapshot of the engine is needed
   */
  boolean apply(CacheEvent event);

  /**
   * Replaces the part of an engine.
   *
   * @param upstreamId the engine
   * @param incarnation incarnation of the engine
   * @param sequence sequence number of the last event that the snapshot contains
   * @param prefixHashes prefixes that the engine holds
   */
  void applySnapshot(String upstreamId, long incarnation, long sequence, Set<Long> prefixHashes);

  /**
   * Tells whether events of an engine were missed.
   *
   * @param upstreamId the engine
   * @return true if a snapshot is needed before further events are applied
   */
  boolean needsSnapshot(String upstreamId);

  /**
   * Forgets an engine that was lost.
   *
   * @param upstreamId the engine
   */
  void remove(String upstreamId);

  /**
   * Lists the engines that hold a prefix.
   *
   * @param prefixHash hash of the prefix
   * @return identities of the engines; empty if none is known
   */
  List<String> holders(long prefixHash);
}
