package org.ragwortpick.policy;

import java.util.List;
import java.util.Set;

/** Index of the prompt prefixes that engines hold in their caches. */
public interface PrefixIndex {

  /**
   * Records that an engine responded to a prompt and therefore probably holds the prefix.
   *
   * @param upstreamId id of the engine
   * @param prefixHash hash of the prefix; 0 is ignored
   */
  void recordResponse(String upstreamId, long prefixHash);

  /**
   * Applies a cache event. A gap in the sequence numbers clears the entries of the engine, whose
   * events are then ignored until a snapshot is applied.
   *
   * @param event the event
   * @return false if a snapshot of the engine is needed
   */
  boolean apply(CacheEvent event);

  /**
   * Replaces the entries of an engine.
   *
   * @param upstreamId id of the engine
   * @param incarnation incarnation of the engine
   * @param sequence sequence number of the last event that the snapshot contains
   * @param prefixHashes prefixes that the engine holds
   */
  void applySnapshot(String upstreamId, long incarnation, long sequence, Set<Long> prefixHashes);

  /**
   * Tells whether events of an engine were missed.
   *
   * @param upstreamId id of the engine
   * @return true if a snapshot is needed before further events are applied
   */
  boolean needsSnapshot(String upstreamId);

  /**
   * Removes the entries and the event position of a lost engine.
   *
   * @param upstreamId id of the engine
   */
  void remove(String upstreamId);

  /**
   * Lists the engines that hold a prefix.
   *
   * @param prefixHash hash of the prefix
   * @return ids of the engines; empty if no engine is known to hold the prefix
   */
  List<String> holders(long prefixHash);
}
