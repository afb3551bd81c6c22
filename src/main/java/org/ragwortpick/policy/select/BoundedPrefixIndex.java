package org.ragwortpick.policy.select;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpick.policy.CacheEvent;
import org.ragwortpick.policy.PrefixIndex;

/**
 * Prefix index in bounded memory. It keeps the most recently stored prefixes of each engine up to a
 * bound; {@link #holders} takes no lock.
 */
public final class BoundedPrefixIndex implements PrefixIndex {

  private final int maxPrefixesPerEngine;
  private final int maxPrefixes;
  private final Map<String, EngineEntries> engines = new HashMap<>();
  private final ConcurrentHashMap<Long, List<String>> holdersByPrefix = new ConcurrentHashMap<>();
  private int prefixCount;

  /** Prefixes of one engine and the position in its cache events. */
  private static final class EngineEntries {
    private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();
    private long incarnation = -1;
    private long lastSequence;
    private boolean hasGap;
  }

  /**
   * Creates an index.
   *
   * @param maxPrefixesPerEngine maximum number of prefixes of one engine
   * @param maxPrefixes maximum number of prefixes of all engines together
   */
  public BoundedPrefixIndex(int maxPrefixesPerEngine, int maxPrefixes) {
    this.maxPrefixesPerEngine = maxPrefixesPerEngine;
    this.maxPrefixes = maxPrefixes;
  }

  @Override
  public synchronized void recordResponse(String upstreamId, long prefixHash) {
    if (prefixHash != 0) {
      EngineEntries entries = engines.computeIfAbsent(upstreamId, id -> new EngineEntries());
      store(upstreamId, entries, prefixHash);
    }
  }

  @Override
  public synchronized boolean apply(CacheEvent event) {
    EngineEntries entries = engines.computeIfAbsent(event.upstreamId(), id -> new EngineEntries());
    if (event.incarnation() < entries.incarnation) {
      return !entries.hasGap;
    }
    if (event.incarnation() > entries.incarnation) {
      clear(event.upstreamId(), entries);
      entries.incarnation = event.incarnation();
      entries.lastSequence = 0;
      entries.hasGap = false;
    }
    if (entries.hasGap || event.sequence() <= entries.lastSequence) {
      return !entries.hasGap;
    }
    if (event.sequence() != entries.lastSequence + 1) {
      clear(event.upstreamId(), entries);
      entries.hasGap = true;
      return false;
    }
    entries.lastSequence = event.sequence();
    switch (event.kind()) {
      case STORED -> store(event.upstreamId(), entries, event.prefixHash());
      case EVICTED -> evict(event.upstreamId(), entries, event.prefixHash());
      case CLEARED -> clear(event.upstreamId(), entries);
      default -> throw new IllegalArgumentException("unknown cache event kind " + event.kind());
    }
    return true;
  }

  @Override
  public synchronized void applySnapshot(
      String upstreamId, long incarnation, long sequence, Set<Long> prefixHashes) {
    EngineEntries entries = engines.computeIfAbsent(upstreamId, id -> new EngineEntries());
    boolean outdated =
        incarnation < entries.incarnation
            || incarnation == entries.incarnation && sequence < entries.lastSequence;
    if (outdated) {
      return;
    }
    clear(upstreamId, entries);
    entries.incarnation = incarnation;
    entries.lastSequence = sequence;
    entries.hasGap = false;
    prefixHashes.forEach(hash -> store(upstreamId, entries, hash));
  }

  @Override
  public synchronized boolean needsSnapshot(String upstreamId) {
    EngineEntries entries = engines.get(upstreamId);
    return entries != null && entries.hasGap;
  }

  @Override
  public synchronized void remove(String upstreamId) {
    EngineEntries entries = engines.remove(upstreamId);
    if (entries != null) {
      clear(upstreamId, entries);
    }
  }

  @Override
  public List<String> holders(long prefixHash) {
    return holdersByPrefix.getOrDefault(prefixHash, List.of());
  }

  /**
   * Counts the prefixes of all engines; a prefix that two engines hold counts twice.
   *
   * @return number of prefixes
   */
  public synchronized int size() {
    return prefixCount;
  }

  private void store(String upstreamId, EngineEntries entries, long hash) {
    if (entries.prefixes.remove(hash)) {
      entries.prefixes.add(hash);
      return;
    }
    boolean full = entries.prefixes.size() >= maxPrefixesPerEngine || prefixCount >= maxPrefixes;
    if (full) {
      Iterator<Long> oldest = entries.prefixes.iterator();
      if (!oldest.hasNext()) {
        return;
      }
      evict(upstreamId, entries, oldest.next());
    }
    entries.prefixes.add(hash);
    prefixCount++;
    holdersByPrefix.merge(hash, List.of(upstreamId), BoundedPrefixIndex::concat);
  }

  private void evict(String upstreamId, EngineEntries entries, long hash) {
    if (entries.prefixes.remove(hash)) {
      removeHolder(upstreamId, hash);
    }
  }

  private void clear(String upstreamId, EngineEntries entries) {
    entries.prefixes.forEach(hash -> removeHolder(upstreamId, hash));
    entries.prefixes.clear();
  }

  private void removeHolder(String upstreamId, long hash) {
    prefixCount--;
    holdersByPrefix.computeIfPresent(hash, (key, holders) -> without(holders, upstreamId));
  }

  private static List<String> concat(List<String> holders, List<String> added) {
    List<String> all = new ArrayList<>(holders.size() + added.size());
    all.addAll(holders);
    all.addAll(added);
    return List.copyOf(all);
  }

  private static List<String> without(List<String> holders, String removed) {
    List<String> kept = holders.stream().filter(id -> !id.equals(removed)).toList();
    return kept.isEmpty() ? null : kept;
  }
}
